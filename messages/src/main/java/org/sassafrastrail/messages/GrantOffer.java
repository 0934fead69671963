package org.sassafrastrail.messages;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.GrantIdentifier;

/**
 * From a sidecar: its upstream can run one request of an account now.
 *
 * @param grant identifies the grant
 * @param account the account whose turn it is
 * @param timeToLiveMilliseconds for how long the grant holds, by the sidecar's clock
 */
public record GrantOffer(GrantIdentifier grant, AccountName account, long timeToLiveMilliseconds) implements Message {}
