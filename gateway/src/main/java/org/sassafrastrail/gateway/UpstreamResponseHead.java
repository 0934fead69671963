package org.sassafrastrail.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.ReportedLoad;

/**
 * The head of an upstream's response.
 *
 * @param status the status code
 * @param headers the headers to forward to the caller
 * @param kind the kind of response
 * @param length the length of the body, if stated
 * @param framed whether the head says how the body ends; if not, it ends with the connection
 * @param load the load that the upstream reports with it, if any
 */
record UpstreamResponseHead(
        int status,
        HeaderMap headers,
        ResponseKind kind,
        OptionalLong length,
        boolean framed,
        Optional<ReportedLoad> load) {

    /** Returns whether this is the response that was asked for, and not a failure or a client error. */
    boolean isSuccessful() {
        return kind == ResponseKind.ANSWERED && status < StatusCodes.BAD_REQUEST;
    }

    /** Returns whether the status is of the class 2xx. */
    boolean has2xxStatus() {
        return status >= StatusCodes.OK && status < StatusCodes.MULTIPLE_CHOICES;
    }

    /** Returns the head of a stream that another upstream may resume, so that its length is not known. */
    UpstreamResponseHead withoutLength() {
        HeaderMap resumable = new HeaderMap();
        headers.forEach(header -> resumable.addAll(header.getHeaderName(), header));
        resumable.remove(Headers.CONTENT_LENGTH);
        return new UpstreamResponseHead(status, resumable, kind, OptionalLong.empty(), framed, load);
    }
}
