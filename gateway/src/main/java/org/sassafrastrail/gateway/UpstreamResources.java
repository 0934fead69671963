package org.sassafrastrail.gateway;

/**
 * What the exchanges of an I/O thread share for their attempts at upstreams.
 *
 * @param connectionPool the connections to upstreams
 * @param responseBuffers the memory for buffered responses
 */
record UpstreamResources(UpstreamConnectionPool connectionPool, BufferBudget responseBuffers) {}
