package org.sassafrastrail.sidecar;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;
import org.sassafrastrail.http.Problem;
import org.sassafrastrail.http.SharedKey;
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.sidecar.core.SidecarEvent;

/** Accepts dispatches from routers and submits them to the control thread, which starts or declines them. */
final class DispatchFrontEnd implements HttpHandler {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final String CONTENT_TYPE = "Content-Type";

    private final SidecarSettings settings;
    private final Consumer<SidecarEvent> control;
    private final EventLog log;
    private final SharedKey key;
    private final Map<GrantIdentifier, PendingDispatch> pending = new ConcurrentHashMap<>();

    DispatchFrontEnd(SidecarSettings settings, Consumer<SidecarEvent> control, EventLog log) {
        this.settings = settings;
        this.control = control;
        this.log = log;
        this.key = new SharedKey(new HttpString(DispatchHeaders.LINK_KEY), settings.linkKey());
    }

    /** Removes and returns the pending dispatch of a grant. */
    Optional<PendingDispatch> remove(GrantIdentifier grant) {
        return Optional.ofNullable(pending.remove(grant));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        if (!exchange.getRequestPath().equals("/dispatch")) {
            JsonResponses.sendNotFound(exchange);
        } else if (key.checkOrReject(exchange)) {
            exchange.startBlocking();
            readDispatch(exchange);
        }
    }

    private void readDispatch(HttpServerExchange exchange) {
        try {
            byte[] body = exchange.getInputStream().readNBytes(MAX_BODY_BYTES);
            PendingDispatch dispatch = parse(exchange, body);
            SidecarEvent event = new SidecarEvent.DispatchArrived(
                    dispatch.attempt(),
                    dispatch.grant(),
                    Long.parseLong(header(exchange, DispatchHeaders.HINT)),
                    header(exchange, DispatchHeaders.ROUTE));
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> submit(dispatch, event));
        } catch (IllegalArgumentException malformed) {
            new Problem(StatusCodes.BAD_REQUEST, "malformed-dispatch", "The dispatch is not well formed.", "")
                    .send(exchange);
        } catch (IOException disconnected) {
            log.debug("router-disconnected", LogField.of("node", settings.node()));
        }
    }

    /** Submits a dispatch. Only one dispatch for a grant can be pending; another one is rejected with a conflict. */
    private void submit(PendingDispatch dispatch, SidecarEvent event) {
        if (pending.putIfAbsent(dispatch.grant(), dispatch) == null) {
            control.accept(event);
        } else {
            new Problem(StatusCodes.CONFLICT, "grant-in-use", "The grant is used by another dispatch.", "")
                    .send(dispatch.exchange());
        }
    }

    private PendingDispatch parse(HttpServerExchange exchange, byte[] body) {
        AttemptIdentifier attempt = new AttemptIdentifier(
                new RequestIdentifier(header(exchange, DispatchHeaders.REQUEST)),
                Integer.parseInt(header(exchange, DispatchHeaders.ATTEMPT)));
        GrantIdentifier grant = new GrantIdentifier(
                new NodeName(settings.node()),
                new Incarnation(Long.parseLong(header(exchange, DispatchHeaders.GRANT_INCARNATION))),
                Long.parseLong(header(exchange, DispatchHeaders.GRANT_SEQUENCE)));
        String type = exchange.getRequestHeaders().getFirst(CONTENT_TYPE);
        return new PendingDispatch(
                exchange,
                attempt,
                grant,
                header(exchange, DispatchHeaders.METHOD),
                header(exchange, DispatchHeaders.PATH),
                type == null ? Map.of() : Map.of(CONTENT_TYPE, type),
                body);
    }

    private static String header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name))
                .orElseThrow(() -> new IllegalArgumentException("missing header: " + name));
    }
}
