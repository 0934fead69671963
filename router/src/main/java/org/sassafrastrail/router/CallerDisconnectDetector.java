package org.sassafrastrail.router;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.router.core.RouterEvent;

/**
 * Reports callers that disconnect. Each connection has one close listener, which reports the request that a kept-alive
 * connection currently carries.
 */
final class CallerDisconnectDetector {

    private static final AttachmentKey<CurrentRequest> CURRENT = AttachmentKey.create(CurrentRequest.class);

    private final Consumer<RouterEvent> control;

    CallerDisconnectDetector(Consumer<RouterEvent> control) {
        this.control = control;
    }

    /** Sets the request that a connection currently carries. */
    void watch(ServerConnection connection, RequestIdentifier request) {
        Optional.ofNullable(connection.getAttachment(CURRENT))
                .orElseGet(() -> listen(connection))
                .request
                .set(request);
    }

    private CurrentRequest listen(ServerConnection connection) {
        CurrentRequest current = new CurrentRequest(new AtomicReference<>());
        connection.putAttachment(CURRENT, current);
        connection.addCloseListener(
                closed -> control.accept(new RouterEvent.CallerDisconnected(current.request.get())));
        return current;
    }

    /** Holds the request that a connection currently carries. */
    private record CurrentRequest(AtomicReference<RequestIdentifier> request) {}
}
