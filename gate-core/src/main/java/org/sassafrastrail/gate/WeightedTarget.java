package org.sassafrastrail.gate;

import org.sassafrastrail.model.TargetName;

/**
 * A target of a route.
 *
 * @param target the service or model
 * @param weight its share of the requests, against the weights of the route's other targets
 */
public record WeightedTarget(TargetName target, int weight) {}
