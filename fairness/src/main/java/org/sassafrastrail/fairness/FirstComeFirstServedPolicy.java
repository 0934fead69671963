package org.sassafrastrail.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the account whose oldest request has waited longest: first come, first served. */
public final class FirstComeFirstServedPolicy implements FairnessPolicy {

    private static final Comparator<BackloggedAccount> ORDER =
            Comparator.comparing(BackloggedAccount::longestWait).reversed().thenComparing(BackloggedAccount::account);

    @Override
    public Optional<BackloggedAccount> select(List<BackloggedAccount> candidates) {
        return candidates.stream().min(ORDER);
    }
}
