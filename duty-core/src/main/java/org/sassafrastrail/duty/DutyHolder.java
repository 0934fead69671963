package org.sassafrastrail.duty;

/**
 * A run of a gateway, as the holder of a duty.
 *
 * @param gateway the name of the gateway
 * @param incarnation the start time of its process, in milliseconds since the epoch
 */
public record DutyHolder(String gateway, long incarnation) {}
