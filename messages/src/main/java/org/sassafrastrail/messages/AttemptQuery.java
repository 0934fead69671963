package org.sassafrastrail.messages;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;

/**
 * From a router after a broken connection: what became of an attempt? A grant that was not used is withdrawn, so that
 * the attempt can't begin after the answer.
 *
 * @param attempt the attempt
 * @param grant the grant that it was sent with
 */
public record AttemptQuery(AttemptIdentifier attempt, GrantIdentifier grant) implements Message {}
