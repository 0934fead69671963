package org.sassafrastrail.sidecar.core;

import java.time.Instant;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.NodeName;

/**
 * A grant that has been offered to a router and not yet used.
 *
 * @param router the router that received the offer
 * @param account the client account
 * @param charge the estimated cost charged to the account, in tokens
 * @param expiresAt when the grant expires
 */
public record OutstandingGrant(NodeName router, AccountName account, long charge, Instant expiresAt) {}
