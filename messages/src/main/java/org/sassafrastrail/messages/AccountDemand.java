package org.sassafrastrail.messages;

import org.sassafrastrail.model.AccountName;

/**
 * The requests of one client account that are queued at a router and that the receiving sidecar may serve.
 *
 * @param account the client account
 * @param queuedRequests the number of queued requests
 * @param oldestHint the cost hint of the oldest queued request in tokens, 0 for none
 * @param oldestWaitMilliseconds how long the oldest queued request has been waiting
 */
public record AccountDemand(AccountName account, int queuedRequests, long oldestHint, long oldestWaitMilliseconds) {}
