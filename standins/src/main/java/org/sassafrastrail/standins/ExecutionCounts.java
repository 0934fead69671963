package org.sassafrastrail.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Counts the executions of each request by the identifier in its body, so that duplicates can be detected. */
final class ExecutionCounts {

    private final Map<String, Integer> counts = new ConcurrentHashMap<>();
    private final ObjectMapper mapper = new ObjectMapper();

    void add(String identifier) {
        counts.merge(identifier, 1, Integer::sum);
    }

    String toJson() {
        try {
            return mapper.writeValueAsString(counts) + "\n";
        } catch (JsonProcessingException unexpected) {
            throw new IllegalStateException("execution counts could not be written as JSON", unexpected);
        }
    }
}
