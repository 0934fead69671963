package org.sassafrastrail.http;

import java.io.IOException;
import java.util.OptionalLong;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;
import org.xnio.Options;

/** Marks the end of a response body, so that no client mistakes a truncated response for a complete one. */
public final class ResponseFraming {

    private ResponseFraming() {}

    /** What marks the end of a response body. */
    public enum BodyEnd {
        /** Its length, which the head states. */
        LENGTH,
        /** The last chunk. */
        LAST_CHUNK,
        /** The end of the connection. */
        CONNECTION_END
    }

    /**
     * Returns what marks the end of a response body.
     *
     * @param headers the headers of the response
     * @return the mark
     */
    public static BodyEnd bodyEnd(HeaderMap headers) {
        if (headers.contains(Headers.TRANSFER_ENCODING)) {
            return BodyEnd.LAST_CHUNK;
        }
        return headers.contains(Headers.CONTENT_LENGTH) ? BodyEnd.LENGTH : BodyEnd.CONNECTION_END;
    }

    /**
     * Gives the body of a response a length or chunks, whatever happens to its connection afterwards. Undertow by itself
     * sends no chunks on a connection that closes after the response. A body of unknown length to an HTTP/1.0 client can
     * have neither: until {@link #complete} its connection is one that is reset when it ends, also with this process. To be
     * called before the head is sent.
     *
     * @param exchange the exchange, with its status and headers
     * @param length the length of the body in bytes, empty if it is not known yet
     */
    public static void frame(HttpServerExchange exchange, OptionalLong length) {
        HeaderMap headers = exchange.getResponseHeaders();
        if (bodyEnd(headers) != BodyEnd.CONNECTION_END || !mayHaveBody(exchange)) {
            return;
        }
        if (length.isPresent()) {
            headers.put(Headers.CONTENT_LENGTH, length.getAsLong());
        } else if (exchange.isHttp11()) {
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else {
            setResetOnClose(exchange, true);
        }
    }

    /**
     * Ends a response whose body has been written.
     *
     * @param exchange the exchange
     */
    public static void complete(HttpServerExchange exchange) {
        if (bodyEnd(exchange.getResponseHeaders()) == BodyEnd.CONNECTION_END) {
            setResetOnClose(exchange, false);
        }
        exchange.endExchange();
    }

    /**
     * Closes the connection of a response that is not complete. Where only the end of the connection would mark the end of
     * the body, the connection is reset. Before the response has begun it is not, because a reset may discard what was written
     * of an earlier response on the same connection.
     *
     * @param exchange the exchange
     */
    public static void abort(HttpServerExchange exchange) {
        if (exchange.isResponseStarted() && bodyEnd(exchange.getResponseHeaders()) == BodyEnd.CONNECTION_END) {
            setResetOnClose(exchange, true);
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    private static void setResetOnClose(HttpServerExchange exchange, boolean reset) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException alreadyClosed) {
            // Nothing is sent on a closed connection.
        }
    }

    private static boolean mayHaveBody(HttpServerExchange exchange) {
        int status = exchange.getStatusCode();
        return !exchange.getRequestMethod().equals(Methods.HEAD)
                && status >= StatusCodes.OK
                && status != StatusCodes.NO_CONTENT
                && status != StatusCodes.NOT_MODIFIED;
    }
}
