package org.sassafrastrail.gate;

import java.time.Duration;

/**
 * The limits by which a gateway decides.
 *
 * @param prefillTokensPerMillisecond how fast an engine reads prompts
 * @param maxPrefillWaitShare how much of its aim a request may spend, at the estimate, behind other prompts at an engine
 * @param minCapacityShare the share of that wait that is open to every account, however far it is above the fair level
 * @param schedulingLookahead how many waiting requests are looked at for one that an upstream has room for
 * @param maxQueueingShare how much of its aim a request may wait here before it is refused
 * @param retryAfter what refused callers are told to wait
 * @param retryShare how many repeats a target may get in the window, as a share of its requests, over the fleet
 * @param retryExtra how many repeats a target may get in the window beyond that, over the fleet
 * @param coldBurstFactor how far a cold upstream's rate may be exceeded in one second
 * @param coldBurstExtra how many requests a cold upstream may get in one second beyond that
 * @param ejectionThreshold how many failures in a row make an upstream look broken
 * @param ejectionDuration how long such an upstream gets no work
 * @param reportSpacing the time between two reports that a gateway gets, on average, from all its peers
 * @param minDrainTime how long a stopping gateway goes on serving its open connections
 * @param maxDrainTime when a stopping gateway ends, whatever still runs
 */
public record GatewayLimits(
        double prefillTokensPerMillisecond,
        double maxPrefillWaitShare,
        double minCapacityShare,
        int schedulingLookahead,
        double maxQueueingShare,
        Duration retryAfter,
        double retryShare,
        double retryExtra,
        double coldBurstFactor,
        double coldBurstExtra,
        int ejectionThreshold,
        Duration ejectionDuration,
        Duration reportSpacing,
        Duration minDrainTime,
        Duration maxDrainTime) {}
