package org.sassafrastrail.http;

import io.undertow.client.ClientConnection;

/**
 * A connection to a server.
 *
 * @param client the connection of Undertow's client
 * @param checker checks the framing of what it reads
 */
record CheckedConnection(ClientConnection client, ChunkChecker checker) {}
