package org.sassafrastrail.model;

/**
 * Identifies one grant of one sidecar's life.
 *
 * @param sidecar the sidecar that made the grant
 * @param incarnation the life of the sidecar
 * @param sequence counts the grants of that life
 */
public record GrantIdentifier(NodeName sidecar, Incarnation incarnation, long sequence) {}
