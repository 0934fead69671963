package org.sassafrastrail.messages;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.GrantIdentifier;

/**
 * Grants a router the right to dispatch one request of a client account to the sender's upstream.
 *
 * @param grant the identifier of the grant
 * @param account the client account that is next in the scheduling order
 * @param timeToLiveMilliseconds how long the grant is valid, measured by the sidecar's clock
 */
public record GrantOffer(GrantIdentifier grant, AccountName account, long timeToLiveMilliseconds) implements Message {}
