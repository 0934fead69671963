package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.fairness.ServiceUnits;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.rules.AccountRule;

/** Charges client accounts for the service they receive, weighted by the accounts' configured weights. */
final class AccountLedger {

    private final SidecarIdentity identity;

    AccountLedger(SidecarIdentity identity) {
        this.identity = identity;
    }

    /** Charges a cost in tokens; a negative cost is a refund. */
    SidecarState charge(SidecarState state, AccountName account, long cost) {
        int weight = state.rules().account(account).map(AccountRule::weight).orElse(1);
        return state.with(state.ledger()
                .charge(identity.ledgerWriter(), identity.ledgerKey(account), ServiceUnits.of(cost, weight)));
    }

    long total(SidecarState state, AccountName account) {
        return state.ledger().total(identity.ledgerKey(account));
    }

    /** Raises the virtual token counter of an account to a floor; a higher counter is unchanged. */
    SidecarState lift(SidecarState state, AccountName account, long floor) {
        return state.with(state.ledger().lift(identity.ledgerWriter(), identity.ledgerKey(account), floor));
    }
}
