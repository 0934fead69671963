package org.sassafrastrail.gate;

/**
 * How a client account stood over the fleet when a gateway decided on one of its requests, as far as this gateway knew.
 *
 * @param requested the tokens that its requests recently asked for at all gateways, decayed
 * @param served the tokens of its requests that were recently sent to upstreams by all gateways, decayed
 * @param level the max-min fair share level in decayed tokens, infinite while all accounts are served what they request
 * @param capacityShare the share of upstream capacity that its requests may use
 */
public record AccountStanding(long requested, long served, double level, double capacityShare) {}
