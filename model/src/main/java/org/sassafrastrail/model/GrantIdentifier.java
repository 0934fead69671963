package org.sassafrastrail.model;

/**
 * Identifies one grant issued by one incarnation of a sidecar.
 *
 * @param sidecar the sidecar that issued the grant
 * @param incarnation the incarnation of the sidecar
 * @param sequence the sequence number of the grant within the incarnation
 */
public record GrantIdentifier(NodeName sidecar, Incarnation incarnation, long sequence) {}
