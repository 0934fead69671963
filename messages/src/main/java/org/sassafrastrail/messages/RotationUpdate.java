package org.sassafrastrail.messages;

import org.sassafrastrail.model.FailureDomainName;

/**
 * Tells a gateway's peers whether it is in the load balancer's rotation, and the load on which that rests.
 *
 * @param domain the failure domain of the gateway
 * @param inRotation whether the gateway reports ready
 * @param overloadShare the share of the recent time in which it was overloaded, from 0 to 1
 * @param connections the number of its callers' open connections
 */
public record RotationUpdate(FailureDomainName domain, boolean inRotation, double overloadShare, int connections)
        implements Message {}
