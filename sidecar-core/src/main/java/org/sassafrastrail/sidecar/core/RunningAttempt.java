package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;

/**
 * An attempt in flight at the upstream.
 *
 * @param attempt the attempt
 * @param account the client account
 * @param hint the caller's cost hint in tokens, 0 for none
 * @param route the route of the request
 * @param charge the cost charged to the account so far, in tokens
 */
public record RunningAttempt(AttemptIdentifier attempt, AccountName account, long hint, String route, long charge) {

    RunningAttempt withCharge(long next) {
        return new RunningAttempt(attempt, account, hint, route, next);
    }
}
