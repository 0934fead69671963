package org.sassafrastrail.router.core;

import java.time.Duration;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.GrantReturnReason;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.RetryReason;
import org.sassafrastrail.model.UnknownReason;
import org.sassafrastrail.rules.RuleDocument;

/** An output of the decisions of a router: a command to carry out, or a decision to record in logs and metrics. */
public sealed interface RouterAction {

    /**
     * Send an attempt at a request to a sidecar.
     *
     * @param request the request
     * @param attempt the attempt
     * @param grant the grant of the sidecar that the attempt uses
     */
    record Dispatch(RouterRequest request, AttemptIdentifier attempt, GrantIdentifier grant) implements RouterAction {}

    /**
     * Respond to the caller that the request was refused and did not run.
     *
     * @param request the request
     * @param reason the reason for the refusal
     */
    record Refuse(RequestIdentifier request, RefusalReason reason) implements RouterAction {}

    /**
     * Respond to the caller that it is unknown whether the request ran.
     *
     * @param request the request
     * @param reason the reason why the outcome is unknown
     */
    record RespondOutcomeUnknown(RequestIdentifier request, UnknownReason reason) implements RouterAction {}

    /**
     * Respond to the caller that the upstream failed.
     *
     * @param request the request
     * @param status the HTTP status that the upstream returned
     */
    record RespondUpstreamFailed(RequestIdentifier request, int status) implements RouterAction {}

    /**
     * Cancel an attempt in flight. A response that still arrives is not forwarded to the caller.
     *
     * @param attempt the attempt
     */
    record CancelAttempt(AttemptIdentifier attempt) implements RouterAction {}

    /**
     * Record that a request was queued.
     *
     * @param request the request
     */
    record RequestQueued(RouterRequest request) implements RouterAction {}

    /**
     * Record that a request will be retried.
     *
     * @param attempt the attempt that ended
     * @param reason the reason for the retry
     * @param delay the minimum time until the next attempt
     */
    record RetryScheduled(AttemptIdentifier attempt, RetryReason reason, Duration delay) implements RouterAction {}

    /**
     * Record that a request ended with a response of the upstream, which may have been truncated.
     *
     * @param request the request
     */
    record RequestFinished(RouterRequest request) implements RouterAction {}

    /**
     * Claim an idempotency key in the platform's table.
     *
     * @param request the request
     * @param key the key
     * @param after the delay before the claim
     */
    record ClaimIdempotencyKey(RouterRequest request, String key, Duration after) implements RouterAction {}

    /**
     * Release an idempotency key in the platform's table, because its request did not run.
     *
     * @param request the request
     * @param key the key
     */
    record ReleaseIdempotencyKey(RouterRequest request, String key) implements RouterAction {}

    /**
     * Send a message to a sidecar.
     *
     * @param sidecar the sidecar
     * @param message the message
     */
    record SendMessage(NodeName sidecar, Message message) implements RouterAction {}

    /**
     * Record that a grant was returned unused.
     *
     * @param grant the grant
     * @param reason the reason for the return
     */
    record GrantReturned(GrantIdentifier grant, GrantReturnReason reason) implements RouterAction {}

    /**
     * Record that a rule file was adopted.
     *
     * @param document the rule file
     */
    record ConfigurationAdopted(RuleDocument document) implements RouterAction {}

    /**
     * Record that this router suspended a version because of a regression.
     *
     * @param suspension the suspension
     */
    record VersionSuspended(Suspension suspension) implements RouterAction {}

    /** Read the rule file in force from the platform without waiting for the next periodic read. */
    record ReadRules() implements RouterAction {}

    /** Report that a router that is shutting down has completed all its requests. */
    record Drained() implements RouterAction {}
}
