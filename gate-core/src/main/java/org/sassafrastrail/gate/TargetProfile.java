package org.sassafrastrail.gate;

import java.time.Duration;

import org.sassafrastrail.model.TargetName;

/**
 * What the configuration says of the upstreams of a service or model.
 *
 * @param name the service or model
 * @param coldFor how long an upstream stays cold after its start
 * @param coldRequestsPerSecond what a cold upstream bears, over the whole fleet
 * @param mostConnections how many connections an upstream takes, from the whole fleet
 */
public record TargetProfile(TargetName name, Duration coldFor, double coldRequestsPerSecond, int mostConnections) {}
