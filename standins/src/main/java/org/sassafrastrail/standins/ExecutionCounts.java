package org.sassafrastrail.standins;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Counts how often each request ran, by the identifier that its caller put into the body. */
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
            throw new IllegalStateException("counts are always JSON", unexpected);
        }
    }
}
