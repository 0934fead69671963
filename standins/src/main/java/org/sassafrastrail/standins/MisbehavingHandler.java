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

/** Puts a stand-in's misbehaviour before its answers. Every answer is given on a worker thread. */
final class MisbehavingHandler implements HttpHandler {

    private final AtomicReference<Misbehaviour> misbehaviour;
    private final HttpHandler next;
    private final ObjectMapper mapper = new ObjectMapper();
    private final CountDownLatch never = new CountDownLatch(1);

    MisbehavingHandler(AtomicReference<Misbehaviour> misbehaviour, HttpHandler next) {
        this.misbehaviour = misbehaviour;
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
            learn(exchange);
        } else if (misbehaviour.get().down()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            never.await(misbehaviour.get().slowMilliseconds(), TimeUnit.MILLISECONDS);
            next.handleRequest(exchange);
        }
    }

    private void learn(HttpServerExchange exchange) throws IOException {
        misbehaviour.set(mapper.readValue(exchange.getInputStream().readAllBytes(), Misbehaviour.class));
        JsonResponses.send(exchange, "{}\n");
    }
}
