package org.sassafrastrail.gate;

import java.time.Duration;

/**
 * The limits for a gateway's decisions.
 *
 * @param prefillTokensPerMillisecond the prefill rate that is assumed of an engine until its responses show it
 * @param maxPrefillWaitShare the maximum estimated wait for other prompts' prefill at an engine, as a share of the
 *     request's latency target
 * @param minCapacityShare the share of that wait that an account may use, however far it is beyond its part of the
 *     configured capacity, before the correction that leads it to its fair share
 * @param schedulingLookahead the number of queued requests that are examined for one that can be dispatched
 * @param maxQueueingShare the maximum queueing time before a request is refused, as a share of its latency target
 * @param retryAfter the retry delay that refused callers are given
 * @param retryShare the maximum retries for a target in the window over the fleet, as a share of its requests
 * @param retryExtra the retries for a target in the window over the fleet that are allowed beyond that share
 * @param coldBurstFactor the factor by which a cold upstream's configured rate may be exceeded in one second
 * @param coldBurstExtra the requests in one second that a cold upstream may get beyond that
 * @param newVersionShare the maximum share of requests that a new version gets before a move to it is completed
 * @param newVersionExtra the requests over the fleet that a new version may get beyond that share
 * @param ejectionThreshold the number of consecutive failures after which an upstream is ejected
 * @param ejectionDuration how long an ejected upstream gets no requests
 * @param minCrashesOfCause the number of crashes of upstreams in which a prompt part recurs before it is held to cause them
 * @param crashRetention how long a crash of an upstream counts as evidence
 * @param reportSpacing the average time between two reports that a gateway receives, over all its peers
 * @param drain the times of a graceful shutdown
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
        double newVersionShare,
        double newVersionExtra,
        int ejectionThreshold,
        Duration ejectionDuration,
        int minCrashesOfCause,
        Duration crashRetention,
        Duration reportSpacing,
        DrainSchedule drain) {}
