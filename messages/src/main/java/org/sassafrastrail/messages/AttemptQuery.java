package org.sassafrastrail.messages;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;

/**
 * Asks a sidecar for the state of an attempt, sent by a router after the connection of the attempt broke. The sidecar
 * withdraws the grant if it is unused, so that the attempt can't begin after the reply.
 *
 * @param attempt the attempt
 * @param grant the grant that the attempt was dispatched with
 */
public record AttemptQuery(AttemptIdentifier attempt, GrantIdentifier grant) implements Message {}
