package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Places plain requests where the fewest run, as long as the upstream's places and a short queue are not full. */
final class LeastRunningPlacement implements Placement {

    /** Upstreams queue a little, and a place is free sooner than other gateways hear of it. */
    private static final int QUEUE_FACTOR = 2;

    @Override
    public Optional<Place> place(Call call, List<Candidate> candidates, Room room) {
        return candidates.stream()
                .filter(candidate -> admits(candidate, call, room))
                .min(Comparator.comparingInt(Candidate::running)
                        .thenComparingLong(candidate -> Mixing.mix(
                                candidate.identifier() + call.description().request())))
                .map(candidate -> new Place(candidate, 0));
    }

    @Override
    public boolean admits(Candidate candidate, Call call, Room room) {
        return candidate.running() == 0
                || candidate.running() * room.unheard()
                        < QUEUE_FACTOR * candidate.upstream().upstream().slots();
    }
}
