package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.rules.RuleDocument;

/** Actions that a sidecar's core requests from its process. */
public sealed interface SidecarAction {

    /**
     * Forwards a dispatched request to the upstream.
     *
     * @param attempt the attempt
     * @param grant the grant that the attempt uses
     * @param account the client account
     */
    record BeginAttempt(AttemptIdentifier attempt, GrantIdentifier grant, AccountName account)
            implements SidecarAction {}

    /**
     * Responds to a dispatch that its attempt did not run.
     *
     * @param attempt the attempt
     * @param grant the grant of the dispatch
     * @param reason why the attempt did not run
     */
    record DeclineAttempt(AttemptIdentifier attempt, GrantIdentifier grant, NotRunReason reason)
            implements SidecarAction {}

    /**
     * Sends a message to a router.
     *
     * @param router the router
     * @param message the message
     */
    record SendMessage(NodeName router, Message message) implements SidecarAction {}

    /**
     * Records that a grant expired unused.
     *
     * @param grant the grant
     * @param account the client account
     */
    record GrantExpired(GrantIdentifier grant, AccountName account) implements SidecarAction {}

    /**
     * Records that a rule file came into force.
     *
     * @param document the rule file
     */
    record ConfigurationAdopted(RuleDocument document) implements SidecarAction {}

    /**
     * Records that the upstream is or may be in a cold start.
     *
     * @param limit the reduced concurrency limit
     */
    record UpstreamTurnedCold(int limit) implements SidecarAction {}

    /** Signals that a draining sidecar has neither outstanding grants nor attempts in flight. */
    record Drained() implements SidecarAction {}
}
