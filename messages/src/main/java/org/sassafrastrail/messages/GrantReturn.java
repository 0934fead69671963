package org.sassafrastrail.messages;

import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.GrantReturnReason;

/**
 * Returns a grant that the router won't use.
 *
 * @param grant the identifier of the grant
 * @param reason why the grant is not used
 */
public record GrantReturn(GrantIdentifier grant, GrantReturnReason reason) implements Message {}
