package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;

/** Takes in what the platform says: the configuration, the registry, the failure domains, the other gateways. */
final class BeliefHandler {

    private final Scheduler scheduler;

    BeliefHandler(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A configuration that is not newer than the one in force is passed over. */
    Transition<GatewayState, GatewayAction> routes(
            GatewayState state, GatewayEvent.ConfigurationReceived event, Instant now) {
        boolean newer = state.configuration()
                .map(configuration -> event.configuration().version() > configuration.version())
                .orElse(true);
        return newer
                ? Transition.<GatewayState, GatewayAction>stay(state.with(event.configuration()))
                        .then(new GatewayAction.ReportConfigurationInForce(
                                event.configuration().version()))
                : Transition.stay(state);
    }

    Transition<GatewayState, GatewayAction> upstreams(
            GatewayState state, GatewayEvent.UpstreamsChanged event, Instant now) {
        Transition<GatewayState, GatewayAction> gone = Transition.<GatewayState, GatewayAction>stay(state)
                .forEach(
                        state.upstreams().values().stream()
                                .filter(UpstreamState::registered)
                                .filter(known -> !event.upstreams()
                                        .containsKey(known.upstream().identifier())),
                        (next, known) -> Transition.<GatewayState, GatewayAction>stay(next.with(known.gone()))
                                .then(believe(known.upstream(), UpstreamStatus.GONE)));
        return gone.forEach(event.upstreams().values().stream(), (next, entry) -> take(next, entry, now))
                .and(next -> scheduler.sendAll(next, now));
    }

    private static Transition<GatewayState, GatewayAction> take(GatewayState state, Upstream entry, Instant now) {
        Optional<UpstreamState> known = Optional.ofNullable(state.upstreams().get(entry.identifier()))
                .filter(present -> present.upstream().isSameIncarnation(entry));
        if (known.filter(present -> present.registered() && present.upstream().equals(entry))
                .isPresent()) {
            return Transition.stay(state);
        }
        UpstreamState taken =
                known.map(present -> present.seenAgain(entry, now)).orElseGet(() -> UpstreamState.found(entry, now));
        UpstreamStatus status = entry.draining() ? UpstreamStatus.LEAVING : UpstreamStatus.FOUND;
        boolean isNews = known.map(
                        present -> !present.registered() || present.upstream().draining() != entry.draining())
                .orElse(true);
        Transition<GatewayState, GatewayAction> next = Transition.stay(state.with(taken));
        return isNews ? next.then(believe(entry, status)) : next;
    }

    private static GatewayAction believe(Upstream upstream, UpstreamStatus status) {
        return new GatewayAction.ReportUpstreamStatus(
                upstream.identifier(),
                status,
                upstream.target() + " " + upstream.version() + " at " + upstream.host() + ":" + upstream.port() + " in "
                        + upstream.domain() + ", cold for "
                        + upstream.coldRemaining().toMillis() + " ms");
    }

    Transition<GatewayState, GatewayAction> domains(
            GatewayState state, GatewayEvent.DomainsOutChanged event, Instant now) {
        return scheduler.sendAll(state.withDomainsOut(event.domains()), now);
    }

    Transition<GatewayState, GatewayAction> gateways(
            GatewayState state, GatewayEvent.GatewayCountChanged event, Instant now) {
        return Transition.stay(state.with(state.peers().counted(event.gateways())));
    }

    Transition<GatewayState, GatewayAction> peerLinked(
            GatewayState state, GatewayEvent.PeerConnected event, Instant now) {
        return Transition.stay(state.with(state.peers().linked(event.peer())));
    }

    Transition<GatewayState, GatewayAction> peerReported(
            GatewayState state, GatewayEvent.PeerReportReceived event, Instant now) {
        return Transition.stay(state.with(state.peers().reported(event.peer(), event.report()))
                .with(state.shares().reported(event.peer(), event.report(), now)));
    }

    Transition<GatewayState, GatewayAction> peerLost(
            GatewayState state, GatewayEvent.PeerDisconnected event, Instant now) {
        return Transition.stay(state.with(state.peers().lost(event.peer())));
    }
}
