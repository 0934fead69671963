package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

/** Places plain requests where the fewest of this gateway's run, within its share of the places. */
final class LeastRunningPlacement implements Placement {

    /** Gateways are seldom busy at once, and upstreams queue a little. */
    private static final int PLACES_SHARED_TIMES = 2;

    @Override
    public Optional<Place> place(Call call, Stream<UpstreamState> candidates, int gateways, Instant now) {
        return candidates
                .filter(state -> state.running() < share(state, gateways))
                .min(Comparator.comparingInt(UpstreamState::running)
                        .thenComparingLong(state ->
                                Mixing.mix(state.upstream().identifier().value()
                                        + call.description().request())))
                .map(state -> new Place(state, 0));
    }

    private static int share(UpstreamState state, int gateways) {
        return Math.max(1, (PLACES_SHARED_TIMES * state.upstream().places() + gateways - 1) / gateways);
    }
}
