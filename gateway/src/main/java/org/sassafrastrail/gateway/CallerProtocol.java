package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import io.undertow.util.HeaderMap;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.ReportedLoad;
import org.sassafrastrail.gate.Upstream;

/** The mapping between HTTP headers of callers and upstreams and what the gateway needs to know. */
public interface CallerProtocol {

    /**
     * Parses the headers of a caller's request.
     *
     * @param headers the request headers
     * @return the parsed head
     */
    CallerRequestHead readRequestHead(HeaderMap headers);

    /**
     * Reads the identifier of the last event that the caller has of a stream that its request resumes.
     *
     * @param headers the request headers
     * @return the identifier, empty if the request resumes no stream
     */
    Optional<String> readLastEventId(HeaderMap headers);

    /**
     * Builds the headers of a request to an upstream.
     *
     * @param received the request headers from the caller
     * @param call the request
     * @param upstream the upstream
     * @param timeLeft the remaining time for the upstream to process the request
     * @param lastEventId the identifier of the last event that the caller received, if the request resumes a stream
     * @return the headers
     */
    HeaderMap upstreamRequestHeaders(
            HeaderMap received,
            CallDescription call,
            Upstream upstream,
            Duration timeLeft,
            Optional<String> lastEventId);

    /**
     * Parses the head of an upstream's response.
     *
     * @param status the status code
     * @param headers the response headers
     * @return the parsed facts
     */
    ResponseFacts readResponseFacts(int status, HeaderMap headers);

    /**
     * Reads the load that an upstream reports with a response.
     *
     * @param headers the response headers
     * @return the load, empty if the upstream reports none or an invalid one
     */
    Optional<ReportedLoad> readReportedLoad(HeaderMap headers);

    /**
     * Reads what the head of a response says of the upstream itself.
     *
     * @param status the status code
     * @param headers the response headers
     * @return the notice
     */
    UpstreamNotice readNotice(int status, HeaderMap headers);

    /**
     * Reads what the head of a response says of a limit on the requests of its upstream.
     *
     * @param headers the response headers
     * @return the notice
     */
    RateLimitNotice readRateLimit(HeaderMap headers);

    /**
     * Builds the headers of a response to a caller.
     *
     * @param received the response headers from the upstream
     * @return the headers
     */
    HeaderMap callerResponseHeaders(HeaderMap received);
}
