package org.sassafrastrail.gateway;

import java.util.OptionalLong;

import io.undertow.util.HeaderMap;

/**
 * The head of an upstream's answer.
 *
 * @param status its status
 * @param headers its headers, as the caller may see them
 * @param kind what it means
 * @param length the length of its body, if it says so
 */
record UpstreamResponseHead(int status, HeaderMap headers, ResponseKind kind, OptionalLong length) {}
