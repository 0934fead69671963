package org.sassafrastrail.messages;

import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.GrantReturnReason;

/**
 * From a router: a grant that it won't use.
 *
 * @param grant the grant
 * @param reason why
 */
public record GrantReturn(GrantIdentifier grant, GrantReturnReason reason) implements Message {}
