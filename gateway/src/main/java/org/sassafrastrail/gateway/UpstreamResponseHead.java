package org.sassafrastrail.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import io.undertow.util.HeaderMap;
import org.sassafrastrail.gate.ReportedLoad;

/**
 * The head of an upstream's response.
 *
 * @param status the status code
 * @param headers the headers to forward to the caller
 * @param kind the kind of response
 * @param length the length of the body, if stated
 * @param load the load that the upstream reports with it, if any
 */
record UpstreamResponseHead(
        int status, HeaderMap headers, ResponseKind kind, OptionalLong length, Optional<ReportedLoad> load) {}
