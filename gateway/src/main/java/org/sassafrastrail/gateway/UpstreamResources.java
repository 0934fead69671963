package org.sassafrastrail.gateway;

/**
 * What the exchanges of an I/O thread share for their attempts at upstreams.
 *
 * @param connectionPool the connections to upstreams
 * @param responseBuffers the memory for buffered responses
 * @param unavailable the upstreams that want no more requests
 */
record UpstreamResources(
        UpstreamConnectionPool connectionPool, BufferBudget responseBuffers, UnavailableUpstreams unavailable) {}
