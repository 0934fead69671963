package org.sassafrastrail.router.core;

import java.time.Instant;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.rules.NodeConfiguration;
import org.sassafrastrail.rules.RuleDocument;

/**
 * Keeps the configuration at the newest revision that the platform or a sidecar reported, and announces it to sidecars.
 */
final class ConfigurationHandler {

    /**
     * Adopts a rule file if it is newer than the current one. Any other rule file confirms the current one, so the
     * revision never decreases.
     */
    Transition<RouterState, RouterAction> documentReceived(RouterState state, RuleDocument document) {
        NodeConfiguration current = state.configuration();
        if (!current.isOlderThan(document)) {
            return Transition.to(state.with(current.withConfirmed(true)));
        }
        RouterState next = state.with(current.withDocument(document));
        return Transition.<RouterState, RouterAction>to(next)
                .then(new RouterAction.ConfigurationAdopted(document))
                .thenAll(next.sidecars().keySet().stream()
                        .map(node -> new RouterAction.SendMessage(node, TickHandler.heartbeat(next)))
                        .toList());
    }

    /** Confirms the current configuration, if there is one, so that the router keeps working without the platform. */
    Transition<RouterState, RouterAction> platformUnavailable(RouterState state) {
        return Transition.to(state.with(
                state.configuration().withConfirmed(state.configuration().isPresent())));
    }

    /** Requests the rule file of a sidecar whose heartbeat has a newer revision, from one sidecar at a time. */
    Transition<RouterState, RouterAction> heartbeatReceived(
            RouterState state, SidecarLink link, Heartbeat heartbeat, Instant now) {
        NodeConfiguration current = state.configuration();
        return current.shouldRequest(heartbeat.revision(), now)
                ? Transition.<RouterState, RouterAction>to(state.with(current.withLastRequest(now)))
                        .then(new RouterAction.SendMessage(
                                link.node(), new RulesRequest(current.document().revision())))
                : Transition.to(state);
    }

    Transition<RouterState, RouterAction> rulesRequested(RouterState state, SidecarLink link) {
        return state.configuration().isPresent()
                ? Transition.<RouterState, RouterAction>to(state)
                        .then(new RouterAction.SendMessage(
                                link.node(),
                                new RulesAnnouncement(state.configuration().document())))
                : Transition.to(state);
    }
}
