package org.sassafrastrail.sidecar.core;

import java.time.Instant;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.NodeName;

/**
 * A grant that was offered and not yet used.
 *
 * @param router the router that it was offered to
 * @param account the client account
 * @param charge what the account was charged for it, in tokens
 * @param expiresAt when it expires
 */
public record OutstandingGrant(NodeName router, AccountName account, long charge, Instant expiresAt) {}
