package org.sassafrastrail.gateway;

import java.util.OptionalLong;

import io.undertow.util.HeaderMap;

/**
 * The head of an upstream's response.
 *
 * @param status the status code
 * @param headers the headers to forward to the caller
 * @param kind the kind of response
 * @param length the length of the body, if stated
 */
record UpstreamResponseHead(int status, HeaderMap headers, ResponseKind kind, OptionalLong length) {}
