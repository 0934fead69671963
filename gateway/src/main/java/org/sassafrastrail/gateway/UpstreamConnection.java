package org.sassafrastrail.gateway;

import io.undertow.client.ClientConnection;

/**
 * A connection to an upstream.
 *
 * @param client the connection of the HTTP client
 * @param readLimit the limit on what it reads without progress
 */
record UpstreamConnection(ClientConnection client, UnproductiveReadLimit readLimit) {}
