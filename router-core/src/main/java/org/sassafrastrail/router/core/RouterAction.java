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

/** What a router wants done. */
public sealed interface RouterAction {

    /**
     * Send a request to a sidecar.
     *
     * @param request the request
     * @param attempt the attempt
     * @param grant the grant to send it with
     */
    record Dispatch(RouterRequest request, AttemptIdentifier attempt, GrantIdentifier grant) implements RouterAction {}

    /**
     * Tell the caller that the request was refused and did not run.
     *
     * @param request the request
     * @param reason why
     */
    record Refuse(RequestIdentifier request, RefusalReason reason) implements RouterAction {}

    /**
     * Tell the caller that nobody knows whether the request ran.
     *
     * @param request the request
     * @param reason why
     */
    record RespondOutcomeUnknown(RequestIdentifier request, UnknownReason reason) implements RouterAction {}

    /**
     * Tell the caller that the upstream failed.
     *
     * @param request the request
     * @param status the HTTP status of the upstream
     */
    record RespondUpstreamFailed(RequestIdentifier request, int status) implements RouterAction {}

    /**
     * Give up an attempt: whatever it still brings is not for the caller.
     *
     * @param attempt the attempt
     */
    record Abandon(AttemptIdentifier attempt) implements RouterAction {}

    /**
     * Note that a request waits.
     *
     * @param request the request
     */
    record RequestQueued(RouterRequest request) implements RouterAction {}

    /**
     * Note that a request will be tried again.
     *
     * @param attempt the attempt that ended
     * @param reason why
     * @param delay how long until the next attempt may begin
     */
    record RetryScheduled(AttemptIdentifier attempt, RetryReason reason, Duration delay) implements RouterAction {}

    /**
     * Note that a request is done.
     *
     * @param request the request
     */
    record RequestFinished(RouterRequest request) implements RouterAction {}

    /**
     * Claim an idempotency key in the platform's table.
     *
     * @param request the request
     * @param key the key
     * @param after how long to wait first
     */
    record ClaimIdempotencyKey(RouterRequest request, String key, Duration after) implements RouterAction {}

    /**
     * Give up an idempotency key, because its request did not run.
     *
     * @param request the request
     * @param key the key
     */
    record ReleaseIdempotencyKey(RouterRequest request, String key) implements RouterAction {}

    /**
     * Tell a sidecar something.
     *
     * @param sidecar the sidecar
     * @param message the message
     */
    record SendMessage(NodeName sidecar, Message message) implements RouterAction {}

    /**
     * Note that a grant was returned.
     *
     * @param grant the grant
     * @param reason why
     */
    record GrantReturned(GrantIdentifier grant, GrantReturnReason reason) implements RouterAction {}

    /**
     * Note that a rule file came into force.
     *
     * @param document the rule file
     */
    record ConfigurationAdopted(RuleDocument document) implements RouterAction {}

    /**
     * Note that this router saw a version's faults.
     *
     * @param suspension the suspension
     */
    record VersionSuspended(Suspension suspension) implements RouterAction {}

    /** Ask the platform now which rule file is in force. */
    record ReadRules() implements RouterAction {}

    /** Note that a stopping router has answered all its requests. */
    record Drained() implements RouterAction {}
}
