package org.sassafrastrail.router;

import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pcollections.PVector;
import org.pcollections.TreePVector;
import org.sassafrastrail.model.RequestIdentifier;

/** The steps of the latest {@value #MAX_REQUESTS} requests, which operators can look up. */
final class RequestTraces {

    private static final int MAX_REQUESTS = 10_000;

    private final Clock clock;
    private final Map<RequestIdentifier, PVector<String>> steps = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestIdentifier, PVector<String>> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    RequestTraces(Clock clock) {
        this.clock = clock;
    }

    synchronized void add(RequestIdentifier request, String step, String detail) {
        String line = clock.instant() + " " + step + " " + detail;
        steps.merge(request, TreePVector.singleton(line), PVector::plusAll);
    }

    synchronized Optional<List<String>> find(RequestIdentifier request) {
        return Optional.ofNullable(steps.get(request));
    }
}
