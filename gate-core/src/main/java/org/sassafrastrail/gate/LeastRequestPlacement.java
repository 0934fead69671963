package org.sassafrastrail.gate;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the upstream with the shortest expected time among those whose slots and short queue are not full: the one with the
 * fewest running requests, weighted by how long requests take there. At equal times, one in the own failure domain is chosen,
 * because bytes between failure domains cost.
 */
final class LeastRequestPlacement implements Placement {

    /**
     * The maximum number of running requests, as a multiple of the slots. It is above 1 because upstreams queue a few
     * requests themselves, and a slot becomes free before the other gateways' reports show it.
     */
    private static final int QUEUE_FACTOR = 2;

    @Override
    public Optional<Choice> choose(Call call, List<Candidate> candidates, CapacityAllowance allowance) {
        return candidates.stream()
                .filter(candidate -> hasCapacity(candidate, call, allowance))
                .min(Comparator.comparingDouble(Candidate::relativeServiceTime)
                        .thenComparing(Candidate::inOwnDomain, Comparator.reverseOrder())
                        .thenComparingLong(candidate -> StableHash.of(
                                candidate.identifier() + call.description().request())))
                .map(candidate -> new Choice(candidate, 0));
    }

    @Override
    public boolean hasCapacity(Candidate candidate, Call call, CapacityAllowance allowance) {
        return candidate.running() == 0
                || candidate.running() * allowance.loadFactor()
                        < QUEUE_FACTOR * candidate.upstream().upstream().slots();
    }
}
