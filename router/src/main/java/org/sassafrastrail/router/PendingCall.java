package org.sassafrastrail.router;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import org.sassafrastrail.model.RequestIdentifier;

/**
 * A request of a caller with its open HTTP exchange. Exactly one response is sent: by the first that claims the call.
 */
final class PendingCall {

    private final RequestIdentifier request;
    private final HttpServerExchange exchange;
    private final String method;
    private final String path;
    private final Optional<String> contentType;
    private final byte[] body;
    private final long startedNanoseconds = System.nanoTime();
    private final AtomicBoolean claimed = new AtomicBoolean();

    PendingCall(
            RequestIdentifier request,
            HttpServerExchange exchange,
            String method,
            String path,
            Optional<String> contentType,
            byte[] body) {
        this.request = request;
        this.exchange = exchange;
        this.method = method;
        this.path = path;
        this.contentType = contentType;
        this.body = body;
    }

    /** Claims the right to send the response; returns false if it is already claimed. */
    boolean claim() {
        return claimed.compareAndSet(false, true);
    }

    RequestIdentifier request() {
        return request;
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    String method() {
        return method;
    }

    String path() {
        return path;
    }

    Optional<String> contentType() {
        return contentType;
    }

    byte[] body() {
        return body;
    }

    long ageNanoseconds() {
        return System.nanoTime() - startedNanoseconds;
    }
}
