package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import io.undertow.util.HeaderMap;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.Upstream;

/** How callers and upstreams encode in headers what the gateway has to know. */
public interface CallerProtocol {

    /**
     * Reads what a caller says about its request.
     *
     * @param headers the request's headers
     * @return what they say
     */
    CallerRequestHead readRequestHead(HeaderMap headers);

    /**
     * Makes the headers of a request to an upstream.
     *
     * @param received the headers that the caller sent
     * @param call what the request asks for
     * @param upstream where it goes
     * @param timeLeft how long the upstream may work on it
     * @param resumeAfter the last event that the caller has, if the request goes on with a stream
     * @return the headers
     */
    HeaderMap upstreamRequestHeaders(
            HeaderMap received,
            CallDescription call,
            Upstream upstream,
            Duration timeLeft,
            Optional<String> resumeAfter);

    /**
     * Reads what the head of an upstream's answer says.
     *
     * @param status its status
     * @param headers its headers
     * @return what they say
     */
    ResponseFacts readResponseFacts(int status, HeaderMap headers);

    /**
     * Makes the headers of an answer to a caller.
     *
     * @param received the headers that the upstream sent
     * @return the headers
     */
    HeaderMap callerResponseHeaders(HeaderMap received);
}
