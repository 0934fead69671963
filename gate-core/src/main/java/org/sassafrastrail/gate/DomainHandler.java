package org.sassafrastrail.gate;

import java.time.Instant;

import org.sassafrastrail.decision.Transition;

/** Handles the failure domains of gateways, which these tell each other. */
final class DomainHandler {

    private DomainHandler() {}

    static Transition<GatewayState, GatewayAction> peerDomainReceived(
            GatewayState state, GatewayEvent.PeerDomainReceived event, Instant now) {
        return Transition.to(state.with(state.domains().with(event.peer(), event.domain())));
    }

    /** Tells the peers the failure domain of this gateway, if one of them has not been told. */
    static Transition<GatewayState, GatewayAction> share(GatewayState state) {
        GatewayDomains domains = state.domains();
        return domains.shared() || domains.own().isEmpty()
                ? Transition.to(state)
                : Transition.<GatewayState, GatewayAction>to(state.with(domains.withShared(true)))
                        .then(new GatewayAction.AnnounceDomain(domains.own().get()));
    }
}
