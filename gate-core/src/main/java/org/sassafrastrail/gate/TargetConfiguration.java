package org.sassafrastrail.gate;

import org.sassafrastrail.model.TargetName;

/**
 * What the configuration says of the upstreams of a service or model.
 *
 * @param name the service or model
 * @param coldRequestsPerSecond what a cold upstream bears, over the whole fleet
 */
public record TargetConfiguration(TargetName name, double coldRequestsPerSecond) {}
