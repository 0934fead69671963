package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * Handles changes of the cluster state: the configuration, registered upstreams, failure domains and other gateways.
 */
final class ClusterStateHandler {

    private final GatewayLimits limits;
    private final Scheduler scheduler;

    ClusterStateHandler(GatewayLimits limits, Scheduler scheduler) {
        this.limits = limits;
        this.scheduler = scheduler;
    }

    /**
     * Applies a configuration unless it is no newer than the one in force. Names come and go with configurations, so what is
     * left of past ones is dropped then.
     */
    Transition<GatewayState, GatewayAction> configurationReceived(
            GatewayState state, GatewayEvent.ConfigurationReceived event, Instant now) {
        boolean newer = state.configuration()
                .map(configuration -> event.configuration().version() > configuration.version())
                .orElse(true);
        return newer
                ? Transition.<GatewayState, GatewayAction>to(
                                state.withoutPast(now).with(event.configuration()))
                        .then(new GatewayAction.ReportConfigurationInForce(
                                event.configuration().version()))
                : Transition.to(state);
    }

    Transition<GatewayState, GatewayAction> upstreamsChanged(
            GatewayState state, GatewayEvent.UpstreamsChanged event, Instant now) {
        Transition<GatewayState, GatewayAction> unregistered = Transition.<GatewayState, GatewayAction>to(
                        state.with(state.entryHistory().withoutExpired(now)))
                .forEach(
                        state.upstreams().values().stream()
                                .filter(UpstreamState::registered)
                                .filter(known -> !event.upstreams()
                                        .containsKey(known.upstream().identifier())),
                        (next, known) -> Transition.<GatewayState, GatewayAction>to(unregister(next, known, now))
                                .then(statusReport(known.upstream(), UpstreamStatus.GONE)));
        return unregistered
                .and(next -> Transition.to(CrashHandler.unregistered(next, ended(state, event))))
                .forEach(event.upstreams().values().stream(), (next, entry) -> registerUnlessOutdated(next, entry, now))
                .and(next -> scheduler.dispatchAll(next, now));
    }

    /** Returns the incarnations that are no longer registered, or whose identifier has another one now. */
    private static Stream<UpstreamIncarnation> ended(GatewayState state, GatewayEvent.UpstreamsChanged event) {
        return state.upstreams().values().stream()
                .map(UpstreamState::upstream)
                .filter(known -> Optional.ofNullable(event.upstreams().get(known.identifier()))
                        .filter(known::isSameIncarnation)
                        .isEmpty())
                .map(Upstream::incarnation);
    }

    private static GatewayState unregister(GatewayState state, UpstreamState known, Instant now) {
        return state.with(known.unregistered())
                .with(state.entryHistory().withLeft(known.upstream().identifier(), now));
    }

    private Transition<GatewayState, GatewayAction> registerUnlessOutdated(
            GatewayState state, Upstream entry, Instant now) {
        Optional<Upstream> current = state.entryHistory().current(entry);
        if (current.isEmpty()) {
            return outdated(state, entry);
        }
        GatewayState recorded = state.with(state.entryHistory().with(current.get()));
        return register(withDrainNotice(recorded, current.get(), now), current.get(), now);
    }

    /** Leaves an outdated entry aside, and reports it the first time. */
    private static Transition<GatewayState, GatewayAction> outdated(GatewayState state, Upstream entry) {
        Transition<GatewayState, GatewayAction> next =
                Transition.to(state.with(state.entryHistory().withOutdated(entry)));
        return state.entryHistory().isKnownOutdated(entry)
                ? Transition.to(state)
                : next.then(statusReport(entry, UpstreamStatus.ENTRY_OUTDATED));
    }

    /** Remembers a draining upstream for peers that start later. Without a start time, they could mistake it for a later process. */
    private static GatewayState withDrainNotice(GatewayState state, Upstream entry, Instant now) {
        return entry.draining() && entry.hasKnownStart()
                ? state.with(state.drainNotices().mergedWith(Map.of(entry.incarnation(), now)))
                : state;
    }

    private Transition<GatewayState, GatewayAction> register(GatewayState state, Upstream entry, Instant now) {
        Optional<UpstreamState> known = Optional.ofNullable(state.upstreams().get(entry.identifier()))
                .filter(present -> present.upstream().isSameIncarnation(entry));
        if (known.filter(present -> present.registered() && present.upstream().equals(entry))
                .isPresent()) {
            return Transition.to(state);
        }
        UpstreamState updated = known.map(present -> present.reregistered(entry, now))
                .orElseGet(() -> UpstreamState.discovered(
                        entry, PrefillRate.assumed(limits.prefillTokensPerMillisecond()), now));
        UpstreamStatus status = entry.draining() ? UpstreamStatus.LEAVING : UpstreamStatus.FOUND;
        boolean statusChanged = known.map(
                        present -> !present.registered() || present.upstream().draining() != entry.draining())
                .orElse(true);
        Transition<GatewayState, GatewayAction> next = Transition.to(state.with(updated));
        return statusChanged ? next.then(statusReport(entry, status)) : next;
    }

    private static GatewayAction statusReport(Upstream upstream, UpstreamStatus status) {
        return new GatewayAction.ReportUpstreamStatus(
                upstream.identifier(),
                status,
                upstream.target() + " " + upstream.version() + " at " + upstream.host() + ":" + upstream.port() + " in "
                        + upstream.domain() + ", cold for "
                        + upstream.coldRemaining().toMillis() + " ms, entry number " + upstream.entryNumber()
                        + " of the process started at "
                        + upstream.startedAtMillis());
    }

    Transition<GatewayState, GatewayAction> domainsOutChanged(
            GatewayState state, GatewayEvent.DomainsOutChanged event, Instant now) {
        return scheduler.dispatchAll(state.withDomainsOut(event.domains()), now);
    }

    Transition<GatewayState, GatewayAction> gatewaysChanged(
            GatewayState state, GatewayEvent.GatewaysChanged event, Instant now) {
        return Transition.to(state.with(state.peers().withRegistered(event.gateways())));
    }

    Transition<GatewayState, GatewayAction> peerConnected(
            GatewayState state, GatewayEvent.PeerConnected event, Instant now) {
        return Transition.to(state.with(state.peers().withConnected(event.peer()))
                .with(state.crashes().asUnshared())
                .with(state.drainNotices().asUnshared())
                .with(state.rateLimits().asUnshared())
                .with(state.domains().withShared(false))
                .with(state.permits().reopened()));
    }

    Transition<GatewayState, GatewayAction> peerReportReceived(
            GatewayState state, GatewayEvent.PeerReportReceived event, Instant now) {
        return Transition.to(state.with(state.peers().withReport(event.peer(), event.report()))
                .with(state.shares().withReport(event.peer(), event.report(), now)));
    }

    Transition<GatewayState, GatewayAction> peerDisconnected(
            GatewayState state, GatewayEvent.PeerDisconnected event, Instant now) {
        Peers remaining = state.peers().withoutPeer(event.peer());
        return Transition.to(state.with(remaining)
                .with(state.shares().withoutIdleReports(remaining.reports().keySet(), now))
                .with(state.domains().without(event.peer()))
                .with(state.permits().reopened()));
    }
}
