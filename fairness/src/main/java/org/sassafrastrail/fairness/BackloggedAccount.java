package org.sassafrastrail.fairness;

import java.time.Duration;

import org.sassafrastrail.model.AccountName;

/**
 * A client account with waiting requests, as a policy sees it.
 *
 * @param account the account
 * @param service its weighted service so far, in {@link ServiceUnits}
 * @param longestWait how long its oldest request has waited
 */
public record BackloggedAccount(AccountName account, long service, Duration longestWait) {}
