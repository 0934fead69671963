package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.rules.RuleDocument;

/** What a sidecar wants done. */
public sealed interface SidecarAction {

    /**
     * Send a request to the upstream.
     *
     * @param attempt the attempt
     * @param grant its grant
     * @param account the client account
     */
    record BeginAttempt(AttemptIdentifier attempt, GrantIdentifier grant, AccountName account)
            implements SidecarAction {}

    /**
     * Tell the router that an attempt did not run.
     *
     * @param attempt the attempt
     * @param grant the grant that it was sent with
     * @param reason why
     */
    record DeclineAttempt(AttemptIdentifier attempt, GrantIdentifier grant, NotRunReason reason)
            implements SidecarAction {}

    /**
     * Tell a router something.
     *
     * @param router the router
     * @param message the message
     */
    record SendMessage(NodeName router, Message message) implements SidecarAction {}

    /**
     * Note that a grant expired unused.
     *
     * @param grant the grant
     * @param account the client account
     */
    record GrantExpired(GrantIdentifier grant, AccountName account) implements SidecarAction {}

    /**
     * Note that a rule file came into force.
     *
     * @param document the rule file
     */
    record ConfigurationAdopted(RuleDocument document) implements SidecarAction {}

    /**
     * Note that the upstream is or may be in a cold start.
     *
     * @param limit how many requests it may run now
     */
    record UpstreamTurnedCold(int limit) implements SidecarAction {}

    /** Note that a stopping sidecar has answered all its requests. */
    record Drained() implements SidecarAction {}
}
