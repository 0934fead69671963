package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;

import org.sassafrastrail.decision.Transition;

/** Handles periodic work: dispatch of queued requests, timeouts, ends of ejections, reports to peers, and shutdown. */
final class TickHandler {

    private final GatewayLimits limits;
    private final CallHandler calls;
    private final CrashHandler crashes;
    private final DrainNoticeHandler drainNotices;
    private final RateLimitHandler rateLimits;
    private final CapacityHandler capacity;
    private final Scheduler scheduler;

    TickHandler(
            GatewayLimits limits,
            CallHandler calls,
            CrashHandler crashes,
            DrainNoticeHandler drainNotices,
            RateLimitHandler rateLimits,
            CapacityHandler capacity,
            Scheduler scheduler) {
        this.limits = limits;
        this.calls = calls;
        this.crashes = crashes;
        this.drainNotices = drainNotices;
        this.rateLimits = rateLimits;
        this.capacity = capacity;
        this.scheduler = scheduler;
    }

    Transition<GatewayState, GatewayAction> ticked(GatewayState state, GatewayEvent.Ticked event, Instant now) {
        GatewayState updated = state.with(state.shares().withUpdatedLevels(configuredCapacity(state), now))
                .with(state.drainNotices().withoutExpired(now))
                .with(state.pauses().withoutEnded(now));
        return crashes.attribute(RateLimitHandler.withoutExpired(updated, now), now)
                .and(next -> CrashHandler.record(next, now))
                .and(next -> capacity.evaluate(next, now))
                .and(next -> scheduler.dispatchAll(next, now))
                .and(next -> calls.expire(next, now))
                .and(VersionMoveHandler::rejectWorseVersions)
                .and(next -> endEjections(next, now))
                .and(next -> rateLimits.share(next, now))
                .and(next -> capacity.share(next, now))
                .and(DomainHandler::share)
                .and(next -> reportToPeers(next, now))
                .and(next -> checkDrained(next, now));
    }

    private static double configuredCapacity(GatewayState state) {
        return state.configuration().map(GatewayConfiguration::tokensPerSecond).orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Sends a report if one is due. The interval grows with the number of peers, so that a gateway receives reports at
     * a constant rate. An idle gateway sends its full reports too, which shows peers that the link works.
     */
    private Transition<GatewayState, GatewayAction> reportToPeers(GatewayState state, Instant now) {
        LastReport last = state.peers().lastReport();
        if (!last.isDue(now, limits.reportSpacing().multipliedBy(state.peers().connectedGateways() - 1))) {
            return Transition.to(state);
        }
        Map<UpstreamIdentifier, GatewayLoad> loads = loads(state);
        GatewayReport report = last.next(loads, state.shares(), now);
        Transition<GatewayState, GatewayAction> shared =
                crashes.share(state, now).and(next -> drainNotices.share(next, now));
        return report.isEmpty() && !report.full()
                ? shared
                : shared.with(shared.state().with(state.peers().withLastReport(last.sent(report, loads, now))))
                        .then(new GatewayAction.SendReport(report));
    }

    private static Map<UpstreamIdentifier, GatewayLoad> loads(GatewayState state) {
        return state.upstreams().values().stream()
                .filter(upstream -> upstream.running() > 0)
                .collect(Collectors.toUnmodifiableMap(
                        upstream -> upstream.upstream().identifier(), UpstreamState::load));
    }

    private Transition<GatewayState, GatewayAction> endEjections(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(
                        state.upstreams().values().stream()
                                .filter(upstream ->
                                        upstream.health().ejectedUntil() != Instant.MIN && !upstream.isEjected(now)),
                        (next, upstream) -> Transition.<GatewayState, GatewayAction>to(
                                        next.with(upstream.withEjectedUntil(Instant.MIN)))
                                .then(new GatewayAction.ReportUpstreamStatus(
                                        upstream.upstream().identifier(),
                                        UpstreamStatus.BACK,
                                        "ejection period ended")));
    }

    private Transition<GatewayState, GatewayAction> checkDrained(GatewayState state, Instant now) {
        Transition<GatewayState, GatewayAction> stay = Transition.to(state);
        return limits.drain().isDrained(state, now) ? stay.then(new GatewayAction.Drained()) : stay;
    }

    Transition<GatewayState, GatewayAction> stopRequested(
            GatewayState state, GatewayEvent.StopRequested event, Instant now) {
        return Transition.to(state.stoppingSince().isPresent() ? state : state.stopping(now));
    }
}
