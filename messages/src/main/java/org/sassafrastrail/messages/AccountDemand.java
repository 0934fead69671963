package org.sassafrastrail.messages;

import org.sassafrastrail.model.AccountName;

/**
 * What one client account has waiting at a router for the sidecar's model or service.
 *
 * @param account the client account
 * @param queuedRequests how many requests wait that this sidecar may get
 * @param oldestHint the cost hint of the oldest one, in tokens, 0 for none
 * @param oldestWaitMilliseconds how long the oldest one has waited
 */
public record AccountDemand(AccountName account, int queuedRequests, long oldestHint, long oldestWaitMilliseconds) {}
