package org.sassafrastrail.fairness;

import java.time.Duration;

import org.sassafrastrail.model.AccountName;

/**
 * A client account with queued requests, one of the candidates of a {@link FairnessPolicy}.
 *
 * @param account the account
 * @param service the weighted service that it has received, in {@link ServiceUnits}
 * @param longestWait how long its oldest request has been queued
 */
public record BackloggedAccount(AccountName account, long service, Duration longestWait) {}
