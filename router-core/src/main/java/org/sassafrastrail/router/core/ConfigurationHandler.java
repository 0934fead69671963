package org.sassafrastrail.router.core;

import java.time.Instant;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.rules.NodeConfiguration;
import org.sassafrastrail.rules.RuleDocument;

/** Keeps the configuration at the newest revision that was heard of, and passes it on. */
final class ConfigurationHandler {

    /** Takes over a newer rule file; an older one is passed over, so a node never goes back. */
    Transition<RouterState, RouterAction> documentReceived(RouterState state, RuleDocument document) {
        NodeConfiguration current = state.configuration();
        if (!current.isOlderThan(document)) {
            return Transition.stay(state.with(current.withConfirmed(true)));
        }
        RouterState next = state.with(current.withDocument(document));
        return Transition.<RouterState, RouterAction>stay(next)
                .then(new RouterAction.ConfigurationAdopted(document))
                .thenAll(next.sidecars().keySet().stream()
                        .map(node -> new RouterAction.SendMessage(node, TickHandler.heartbeat(next)))
                        .toList());
    }

    Transition<RouterState, RouterAction> platformUnavailable(RouterState state) {
        return Transition.stay(state.with(
                state.configuration().withConfirmed(state.configuration().isPresent())));
    }

    /** Heartbeats show who has a newer rule file; whoever is behind asks one peer for it. */
    Transition<RouterState, RouterAction> heartbeatReceived(
            RouterState state, SidecarLink link, Heartbeat heartbeat, Instant now) {
        NodeConfiguration current = state.configuration();
        return current.shouldRequest(heartbeat.revision(), now)
                ? Transition.<RouterState, RouterAction>stay(state.with(current.withLastRequest(now)))
                        .then(new RouterAction.SendMessage(
                                link.node(), new RulesRequest(current.document().revision())))
                : Transition.stay(state);
    }

    Transition<RouterState, RouterAction> rulesRequested(RouterState state, SidecarLink link) {
        return state.configuration().isPresent()
                ? Transition.<RouterState, RouterAction>stay(state)
                        .then(new RouterAction.SendMessage(
                                link.node(),
                                new RulesAnnouncement(state.configuration().document())))
                : Transition.stay(state);
    }
}
