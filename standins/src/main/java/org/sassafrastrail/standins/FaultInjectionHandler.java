package org.sassafrastrail.standins;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.sassafrastrail.http.JsonResponses;
import org.xnio.IoUtils;

/**
 * Applies the injected faults to each request before it passes the request to the stand-in, and accepts new faults at
 * {@code /misbehave}. All requests are handled on worker threads.
 */
final class FaultInjectionHandler implements HttpHandler {

    private final AtomicReference<InjectedFaults> faults;
    private final HttpHandler next;
    private final ObjectMapper mapper = new ObjectMapper();
    private final CountDownLatch neverReleased = new CountDownLatch(1);

    FaultInjectionHandler(AtomicReference<InjectedFaults> faults, HttpHandler next) {
        this.faults = faults;
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        exchange.startBlocking();
        if (exchange.getRequestPath().equals("/misbehave")) {
            setFaults(exchange);
        } else if (faults.get().down()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            neverReleased.await(faults.get().slowMilliseconds(), TimeUnit.MILLISECONDS);
            next.handleRequest(exchange);
        }
    }

    private void setFaults(HttpServerExchange exchange) throws IOException {
        faults.set(mapper.readValue(exchange.getInputStream().readAllBytes(), InjectedFaults.class));
        JsonResponses.send(exchange, "{}\n");
    }
}
