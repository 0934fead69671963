package org.sassafrastrail.gate;

import java.time.Duration;

import org.sassafrastrail.model.RefusalReason;

/** What a gateway's decision asks to be carried out. */
public sealed interface GatewayAction {

    /**
     * Send the request to an upstream.
     *
     * @param call the request
     * @param attempt the number of the attempt
     * @param upstream where to
     * @param remainingTime how long the upstream may work on it
     * @param timeSinceArrival how long the request had been here
     * @param pendingPrefillTokens the tokens that the upstream is believed to read before the request
     * @param prefillTokens the request's own tokens that the upstream is believed not to have cached
     */
    record Dispatch(
            long call,
            int attempt,
            Upstream upstream,
            Duration remainingTime,
            Duration timeSinceArrival,
            long pendingPrefillTokens,
            long prefillTokens)
            implements GatewayAction {}

    /**
     * Refuse the request, which has not run and will not.
     *
     * @param call the request
     * @param reason why
     * @param retryAfter when a new request has a chance
     * @param queueingTime how long the request had waited since it arrived or its last attempt ended
     * @param capacity the room that was seen
     */
    record Refuse(
            long call, RefusalReason reason, Duration retryAfter, Duration queueingTime, CapacitySnapshot capacity)
            implements GatewayAction {}

    /**
     * Give the caller the upstream's failure that was kept.
     *
     * @param call the request
     */
    record DeliverStoredFailure(long call) implements GatewayAction {}

    /**
     * Tell the caller that nobody knows whether the request ran, or break its answer off if a part of it is sent.
     *
     * @param call the request
     * @param timedOut whether its time was up
     */
    record ReportUnknownOutcome(long call, boolean timedOut) implements GatewayAction {}

    /**
     * End an attempt at its upstream, because nobody waits for it.
     *
     * @param call the request
     * @param attempt the attempt
     */
    record CancelAttempt(long call, int attempt) implements GatewayAction {}

    /**
     * Note that something is now believed of an upstream.
     *
     * @param upstream the upstream
     * @param status what
     * @param detail the inputs, for people
     */
    record ReportUpstreamStatus(UpstreamIdentifier upstream, UpstreamStatus status, String detail)
            implements GatewayAction {}

    /**
     * Note that a configuration is in force.
     *
     * @param version its number
     */
    record ReportConfigurationInForce(long version) implements GatewayAction {}

    /**
     * Tell the other gateways of this one.
     *
     * @param report what to say
     */
    record SendReport(GatewayReport report) implements GatewayAction {}

    /** All requests have their answers and no new ones are expected: the process may end. */
    record Drained() implements GatewayAction {}
}
