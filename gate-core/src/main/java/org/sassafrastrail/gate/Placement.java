package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;

/** Where a request goes, of the upstreams that may get it. */
interface Placement {

    /**
     * A place for a request.
     *
     * @param upstream the upstream
     * @param tokensToRead the tokens of its prompt that the upstream is believed not to have cached
     */
    record Place(UpstreamState upstream, long tokensToRead) {}

    /**
     * Chooses a place.
     *
     * @param call the request
     * @param candidates the upstreams that may get it
     * @param gateways how many gateways share the upstreams
     * @param now the time
     * @return the place, or empty if the request had better wait here
     */
    Optional<Place> place(Call call, Stream<UpstreamState> candidates, int gateways, Instant now);
}
