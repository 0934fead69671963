package org.sassafrastrail.router;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.router.core.RouterEvent;

/** Notices callers that hang up. A connection that is kept for many requests has one listener for its present one. */
final class CallerConnections {

    private static final AttachmentKey<Present> PRESENT = AttachmentKey.create(Present.class);

    private final Consumer<RouterEvent> control;

    CallerConnections(Consumer<RouterEvent> control) {
        this.control = control;
    }

    /** Watches a connection for the request that it now carries. */
    void watch(ServerConnection connection, RequestIdentifier request) {
        Optional.ofNullable(connection.getAttachment(PRESENT))
                .orElseGet(() -> listen(connection))
                .request
                .set(request);
    }

    private Present listen(ServerConnection connection) {
        Present present = new Present(new AtomicReference<>());
        connection.putAttachment(PRESENT, present);
        connection.addCloseListener(
                closed -> control.accept(new RouterEvent.CallerDisconnected(present.request.get())));
        return present;
    }

    /** The request that a connection carries now. */
    private record Present(AtomicReference<RequestIdentifier> request) {}
}
