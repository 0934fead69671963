package org.sassafrastrail.http;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.StreamConnection;

/** The framing of the requests on one connection of a client. Confined to the I/O thread of the connection. */
public final class RequestFraming {

    private final CheckedSource source;
    private final RequestChecker checker;

    private RequestFraming(CheckedSource source, RequestChecker checker) {
        this.source = source;
        this.checker = checker;
    }

    /**
     * Has the requests on a new connection checked. To be called before a server takes the connection.
     *
     * @param connection the connection
     */
    public static void check(StreamConnection connection) {
        connection
                .getSourceChannel()
                .setConduit(new CheckedSource(connection.getSourceChannel().getConduit(), new RequestChecker()));
    }

    /**
     * Returns the framing of the requests on the connection of an exchange.
     *
     * @param exchange the exchange
     * @return the framing, empty if the requests on the connection aren't checked
     */
    public static Optional<RequestFraming> of(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection
                && connection.getOriginalSourceConduit() instanceof CheckedSource source
                && source.checker() instanceof RequestChecker checker) {
            return Optional.of(new RequestFraming(source, checker));
        }
        return Optional.empty();
    }

    /**
     * Counts the exchange that the server has begun. To be called once for each.
     *
     * @return whether its head is sound
     */
    public boolean requestStarted() {
        return checker.requestStarted();
    }

    /**
     * Returns what is wrong with the framing.
     *
     * @return the fault, empty if there is none
     */
    public Optional<String> fault() {
        return checker.fault();
    }

    /**
     * Sets whether nothing more arrives at a fault, where reading fails otherwise.
     *
     * @param pausing whether nothing more arrives; the reader then looks for a fault by itself
     */
    public void setPausingAtFault(boolean pausing) {
        source.setPausingAtFault(pausing);
    }
}
