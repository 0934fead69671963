package org.sassafrastrail.gateway;

import java.util.function.Predicate;

import org.sassafrastrail.gate.Upstream;

/**
 * What the exchanges of an I/O thread share for their attempts at upstreams.
 *
 * @param connectionPool the connections to upstreams
 * @param responseBuffers the memory for buffered responses
 * @param unavailable the upstreams that want no more requests
 * @param limited whether an upstream has a limit on its requests
 */
record UpstreamResources(
        UpstreamConnectionPool connectionPool,
        BufferBudget responseBuffers,
        UnavailableUpstreams unavailable,
        Predicate<Upstream> limited) {}
