package org.sassafrastrail.router;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.router.core.RouterEvent;

/** Notices callers that hang up. A connection that is kept for many requests has one listener for its current one. */
final class CallerDisconnectDetector {

    private static final AttachmentKey<CurrentRequest> CURRENT = AttachmentKey.create(CurrentRequest.class);

    private final Consumer<RouterEvent> control;

    CallerDisconnectDetector(Consumer<RouterEvent> control) {
        this.control = control;
    }

    /** Watches a connection for the request that it now carries. */
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

    /** The request that a connection carries now. */
    private record CurrentRequest(AtomicReference<RequestIdentifier> request) {}
}
