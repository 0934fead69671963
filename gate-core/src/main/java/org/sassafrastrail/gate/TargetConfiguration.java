package org.sassafrastrail.gate;

import org.sassafrastrail.model.TargetName;

/**
 * The configuration of a service or model.
 *
 * @param name the service or model
 * @param coldRequestsPerSecond the request rate that a cold upstream can handle, over all gateways
 */
public record TargetConfiguration(TargetName name, double coldRequestsPerSecond) {}
