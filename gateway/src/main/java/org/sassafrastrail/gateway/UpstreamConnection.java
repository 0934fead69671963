package org.sassafrastrail.gateway;

import io.undertow.client.ClientConnection;
import org.sassafrastrail.http.ChunkChecker;

/**
 * A connection to an upstream.
 *
 * @param client the connection of the HTTP client
 * @param readLimit the limit on what it reads without progress
 * @param chunkChecker checks the framing of what it reads
 */
record UpstreamConnection(ClientConnection client, UnproductiveReadLimit readLimit, ChunkChecker chunkChecker) {}
