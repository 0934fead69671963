package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;

/**
 * A request that the upstream runs.
 *
 * @param attempt the attempt
 * @param account the client account
 * @param hint the caller's cost hint in tokens, 0 for none
 * @param route the route
 * @param charge what the account has been charged so far, in tokens
 */
public record RunningAttempt(AttemptIdentifier attempt, AccountName account, long hint, String route, long charge) {

    RunningAttempt withCharge(long next) {
        return new RunningAttempt(attempt, account, hint, route, next);
    }
}
