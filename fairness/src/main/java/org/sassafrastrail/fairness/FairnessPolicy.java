package org.sassafrastrail.fairness;

import java.util.List;
import java.util.Optional;

/** Selects the client account that gets the next free slot of an upstream. */
@FunctionalInterface
public interface FairnessPolicy {

    /**
     * Selects an account.
     *
     * @param candidates the accounts with queued requests
     * @return the selected account, empty if there are no candidates
     */
    Optional<BackloggedAccount> select(List<BackloggedAccount> candidates);
}
