package org.sassafrastrail.gate;

import org.sassafrastrail.model.TargetName;

/**
 * A target of a route with its weight.
 *
 * @param target the service or model
 * @param weight its share of the requests, relative to the weights of the route's other targets
 */
public record WeightedTarget(TargetName target, int weight) {}
