package org.sassafrastrail.fairness;

import java.util.List;
import java.util.Optional;

/** Picks the client account that gets the next free place of an upstream. */
@FunctionalInterface
public interface FairnessPolicy {

    /**
     * Picks an account.
     *
     * @param candidates the accounts with waiting requests
     * @return the pick, empty if there are no candidates
     */
    Optional<BackloggedAccount> select(List<BackloggedAccount> candidates);
}
