package org.sassafrastrail.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the account with the least weighted service. Ties go to the account that has waited longest. */
public final class LeastServicePolicy implements FairnessPolicy {

    private static final Comparator<BackloggedAccount> ORDER = Comparator.comparingLong(BackloggedAccount::service)
            .thenComparing(Comparator.comparing(BackloggedAccount::longestWait).reversed())
            .thenComparing(BackloggedAccount::account);

    @Override
    public Optional<BackloggedAccount> select(List<BackloggedAccount> candidates) {
        return candidates.stream().min(ORDER);
    }
}
