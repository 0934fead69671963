package org.sassafrastrail.router;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.sassafrastrail.model.RequestIdentifier;

/** The requests that have not been answered, by request identifier. */
final class PendingCalls {

    private final Map<RequestIdentifier, PendingCall> calls = new ConcurrentHashMap<>();

    void add(PendingCall call) {
        calls.put(call.request(), call);
    }

    Optional<PendingCall> find(RequestIdentifier request) {
        return Optional.ofNullable(calls.get(request));
    }

    Optional<PendingCall> remove(RequestIdentifier request) {
        return Optional.ofNullable(calls.remove(request));
    }
}
