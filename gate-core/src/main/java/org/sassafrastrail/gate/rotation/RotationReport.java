package org.sassafrastrail.gate.rotation;

import org.sassafrastrail.model.FailureDomainName;

/**
 * What a gateway tells its peers of its place in the rotation.
 *
 * @param domain its failure domain
 * @param inRotation whether it reports ready
 * @param overloadShare the share of the recent time in which it was overloaded, from 0 to 1
 * @param connections the number of its callers' open connections
 */
public record RotationReport(FailureDomainName domain, boolean inRotation, double overloadShare, int connections) {}
