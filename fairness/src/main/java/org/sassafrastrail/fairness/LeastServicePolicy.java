package org.sassafrastrail.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Picks the account with the least weighted service; among equals the one that has waited longest. */
public final class LeastServicePolicy implements FairnessPolicy {

    private static final Comparator<Candidate> ORDER = Comparator.comparingLong(Candidate::service)
            .thenComparing(Comparator.comparing(Candidate::longestWait).reversed())
            .thenComparing(Candidate::account);

    @Override
    public Optional<Candidate> select(List<Candidate> candidates) {
        return candidates.stream().min(ORDER);
    }
}
