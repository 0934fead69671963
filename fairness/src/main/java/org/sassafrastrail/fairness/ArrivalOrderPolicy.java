package org.sassafrastrail.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Picks the account whose request has waited longest: first come, first served. */
public final class ArrivalOrderPolicy implements FairnessPolicy {

    private static final Comparator<Candidate> ORDER =
            Comparator.comparing(Candidate::longestWait).reversed().thenComparing(Candidate::account);

    @Override
    public Optional<Candidate> select(List<Candidate> candidates) {
        return candidates.stream().min(ORDER);
    }
}
