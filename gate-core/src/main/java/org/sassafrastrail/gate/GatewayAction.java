package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

import org.sassafrastrail.gate.capacity.CapacityReport;
import org.sassafrastrail.gate.capacity.UpstreamWork;
import org.sassafrastrail.gate.capacity.WorkEstimate;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.RefusalReason;

/** An action that a gateway's decision asks to be carried out. */
public sealed interface GatewayAction {

    /**
     * Send the request to an upstream.
     *
     * @param call the request
     * @param attempt the number of the attempt
     * @param upstream the chosen upstream
     * @param dispatchedAt the time of the decision
     * @param expiresAt when the request must have its final response
     * @param timeSinceArrival the time since the request arrived
     * @param pendingPrefillTokens the estimated tokens that the upstream prefills before this request
     * @param prefillTokens the estimated prompt tokens that the upstream has not cached and must prefill
     */
    record Dispatch(
            long call,
            int attempt,
            Upstream upstream,
            Instant dispatchedAt,
            Instant expiresAt,
            Duration timeSinceArrival,
            long pendingPrefillTokens,
            long prefillTokens)
            implements GatewayAction {

        /**
         * Returns the time left for the response.
         *
         * @return the time from the decision until the request expires
         */
        public Duration remainingTime() {
            return Duration.between(dispatchedAt, expiresAt);
        }
    }

    /**
     * Refuse the request, which has not been executed and will not be.
     *
     * @param call the request
     * @param reason the reason
     * @param retryAfter the delay after which the caller should retry
     * @param queueingTime the time since the request arrived or its last attempt ended
     * @param capacity the upstream capacity on which the decision was based
     * @param account the standing of the request's client account
     */
    record Refuse(
            long call,
            RefusalReason reason,
            Duration retryAfter,
            Duration queueingTime,
            CapacitySnapshot capacity,
            AccountStanding account)
            implements GatewayAction {}

    /**
     * Deliver the stored failure response of an upstream to the caller.
     *
     * @param call the request
     */
    record DeliverStoredFailure(long call) implements GatewayAction {}

    /**
     * Report to the caller that it is unknown whether the request was executed, or abort a response that was partly
     * sent.
     *
     * @param call the request
     * @param timedOut whether the request timed out
     */
    record ReportUnknownOutcome(long call, boolean timedOut) implements GatewayAction {}

    /**
     * Cancel an attempt at its upstream, because its response is no longer needed.
     *
     * @param call the request
     * @param attempt the attempt
     */
    record CancelAttempt(long call, int attempt) implements GatewayAction {}

    /**
     * Log a change of the status of an upstream.
     *
     * @param upstream the upstream
     * @param status the new status
     * @param detail the inputs of the decision, in human-readable form
     */
    record ReportUpstreamStatus(UpstreamIdentifier upstream, UpstreamStatus status, String detail)
            implements GatewayAction {}

    /**
     * Log that a configuration is in force.
     *
     * @param version the version of the configuration
     */
    record ReportConfigurationInForce(long version) implements GatewayAction {}

    /**
     * Send a report to the other gateways.
     *
     * @param report the report
     */
    record SendReport(GatewayReport report) implements GatewayAction {}

    /**
     * Tell the other gateways what this one knows of crashes of upstreams.
     *
     * @param crashes the crashes
     */
    record ShareCrashes(List<CrashReport> crashes) implements GatewayAction {}

    /**
     * Record what has to be known of crashes of upstreams after all gateways were down, in place of what was recorded before.
     *
     * @param crashes the crashes
     */
    record RecordCrashes(List<CrashReport> crashes) implements GatewayAction {}

    /**
     * Tell the other gateways which upstreams said that they are draining.
     *
     * @param reports the upstreams
     */
    record ShareDrainNotices(List<DrainReport> reports) implements GatewayAction {}

    /**
     * Tell the other gateways which limits upstreams named.
     *
     * @param reports the limits
     */
    record ShareRateLimits(List<LimitReport> reports) implements GatewayAction {}

    /**
     * Ask another gateway for a permit to send one request to a limited upstream.
     *
     * @param gateway the name of the other gateway
     * @param limit what this gateway knows of the limit
     */
    record RequestPermit(String gateway, LimitReport limit) implements GatewayAction {}

    /**
     * Answer another gateway's permit request.
     *
     * @param gateway the name of the other gateway
     * @param upstream the upstream
     * @param granted whether the permit is granted
     * @param delay the time until another one can be had, if it is not
     */
    record AnswerPermitRequest(String gateway, UpstreamIncarnation upstream, boolean granted, Duration delay)
            implements GatewayAction {}

    /**
     * Count that a request was not sent to an upstream because of its limit.
     *
     * @param upstream the upstream
     */
    record ReportHeldBack(UpstreamIdentifier upstream) implements GatewayAction {}

    /**
     * Log that requests with a set of prompt parts are refused, or are no longer, because upstreams crash under them.
     *
     * @param parts the parts
     * @param refused whether they are refused from now on
     */
    record ReportCrashCause(Set<String> parts, boolean refused) implements GatewayAction {}

    /**
     * Record for all gateways and the operators that the new version of a move is worse and gets no more requests.
     *
     * @param move the move
     */
    record RejectVersion(VersionMove move) implements GatewayAction {}

    /**
     * Tell the other gateways in which failure domain this one is.
     *
     * @param domain the failure domain
     */
    record AnnounceDomain(FailureDomainName domain) implements GatewayAction {}

    /**
     * Tell the other gateways what this gateway learned of the speed of upstreams.
     *
     * @param report what to tell
     */
    record ShareCapacity(CapacityReport report) implements GatewayAction {}

    /**
     * Log that an upstream was found to differ in speed from the others of its target, or no longer does.
     *
     * @param work the upstream and the kind of work
     * @param estimate how long work takes there
     */
    record ReportSpeed(UpstreamWork work, WorkEstimate estimate) implements GatewayAction {}

    /** The graceful shutdown is complete, or its maximum time has passed: the process may exit. */
    record Drained() implements GatewayAction {}
}
