package org.sassafrastrail.gate.capacity;

/**
 * What a gateway learned from its own responses of an upstream.
 *
 * @param work the upstream and the kind of work
 * @param sums the sums over the responses, decayed to the time of the report
 */
public record UpstreamSums(UpstreamWork work, ResponseSums sums) {}
