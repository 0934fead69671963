package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.Upstream;

/** Builds the requests to upstreams for one request of a caller. */
final class UpstreamRequestBuilder {

    private final HttpServerExchange exchange;
    private final CallerRequest request;
    private final CallerProtocol protocol;

    UpstreamRequestBuilder(HttpServerExchange exchange, CallerRequest request, CallerProtocol protocol) {
        this.exchange = exchange;
        this.request = request;
        this.protocol = protocol;
    }

    /**
     * Builds a request.
     *
     * @param upstream the upstream to send it to
     * @param timeLeft how long the upstream may work on it
     * @param lastEventId the identifier of the last event that the caller has received, if the request resumes a stream
     * @return the head of the request
     */
    ClientRequest build(Upstream upstream, Duration timeLeft, Optional<String> lastEventId) {
        ClientRequest built =
                new ClientRequest().setMethod(exchange.getRequestMethod()).setPath(target());
        CallDescription description = request.description();
        protocol.upstreamRequestHeaders(exchange.getRequestHeaders(), description, upstream, timeLeft, lastEventId)
                .forEach(header -> built.getRequestHeaders().addAll(header.getHeaderName(), header));
        if (request.body().length > 0) {
            built.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        }
        return built;
    }

    private String target() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }
}
