package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.gate.limit.RateLimits;

/** Handles the limits that upstreams name on their requests, and the permits that gateways ask each other for. */
final class RateLimitHandler {

    private final RateLimiter rateLimiter;
    private final CallHandler calls;
    private final Scheduler scheduler;

    RateLimitHandler(RateLimiter rateLimiter, CallHandler calls, Scheduler scheduler) {
        this.rateLimiter = rateLimiter;
        this.calls = calls;
        this.scheduler = scheduler;
    }

    /** Applies what an upstream says in a response. Of a request that is gone, it is not known when it was sent. */
    Transition<GatewayState, GatewayAction> limitHeard(
            GatewayState state, GatewayEvent.RateLimitHeard event, Instant now) {
        Instant sentAt = state.call(event.call())
                .filter(call -> call.isRunning(event.attempt()))
                .flatMap(Call::attempt)
                .map(Attempt::dispatchedAt)
                .orElse(Instant.MIN);
        RateLimits limits =
                state.rateLimits().withHeard(event.upstream().incarnation(), event.requestsPerSecond(), sentAt, now);
        return limits == state.rateLimits()
                ? Transition.to(state)
                : changed(state, state.with(limits), List.of(event.upstream()), now);
    }

    /** Applies what a peer has heard of upstreams. */
    Transition<GatewayState, GatewayAction> peerLimitsReceived(
            GatewayState state, GatewayEvent.PeerRateLimitsReceived event, Instant now) {
        List<UpstreamIncarnation> reported =
                event.reports().stream().map(LimitReport::upstream).toList();
        List<Upstream> upstreams = state.upstreams().values().stream()
                .map(UpstreamState::upstream)
                .filter(upstream -> reported.contains(upstream.incarnation()))
                .toList();
        return changed(state, state.with(state.rateLimits().mergedWith(event.reports(), now)), upstreams, now);
    }

    /** Reports the changes, and dispatches what the limits from before held back. */
    private Transition<GatewayState, GatewayAction> changed(
            GatewayState before, GatewayState after, List<Upstream> upstreams, Instant now) {
        List<Upstream> changed = upstreams.stream()
                .filter(upstream -> !limit(before, upstream).equals(limit(after, upstream)))
                .toList();
        List<UpstreamIncarnation> incarnations =
                changed.stream().map(Upstream::incarnation).toList();
        return Transition.<GatewayState, GatewayAction>to(
                        after.with(after.permits().reopened(incarnations)))
                .thenAll(changed.stream()
                        .map(upstream -> statusReport(upstream, limit(before, upstream), limit(after, upstream)))
                        .toList())
                .forEach(
                        changed.stream().map(Upstream::target).distinct(),
                        (next, target) -> scheduler.dispatchQueued(next, target, now));
    }

    private static OptionalDouble limit(GatewayState state, Upstream upstream) {
        return state.rateLimits().requestsPerSecond(upstream.incarnation());
    }

    private static GatewayAction statusReport(Upstream upstream, OptionalDouble before, OptionalDouble after) {
        return new GatewayAction.ReportUpstreamStatus(
                upstream.identifier(),
                after.isPresent() ? UpstreamStatus.LIMITED : UpstreamStatus.LIMIT_OVER,
                "requests a second: " + text(after) + ", before: " + text(before));
    }

    private static String text(OptionalDouble limit) {
        return limit.isPresent() ? Double.toString(limit.getAsDouble()) : "no limit";
    }

    /** Answers a peer's permit request. */
    Transition<GatewayState, GatewayAction> permitRequested(
            GatewayState state, GatewayEvent.PermitRequested event, Instant now) {
        GatewayState informed = state.with(state.rateLimits().mergedWith(List.of(event.limit()), now));
        return rateLimiter.answer(informed, event.peer(), event.limit().upstream(), now);
    }

    /** Uses the permit that this gateway asked for, or sends the requests that wait for it elsewhere. */
    Transition<GatewayState, GatewayAction> permitAnswered(
            GatewayState state, GatewayEvent.PermitAnswered event, Instant now) {
        Optional<Upstream> upstream = state.upstreams().values().stream()
                .map(UpstreamState::upstream)
                .filter(known -> known.incarnation().equals(event.upstream()))
                .findFirst();
        return upstream.map(known -> rateLimiter
                        .answered(state, known, event.granted(), event.delay(), now)
                        .and(next -> scheduler.dispatchQueued(next, known.target(), now))
                        .and(next -> calls.refusePaused(next, known.target(), now)))
                .orElseGet(() -> Transition.to(state));
    }

    /** Tells the peers what they have not been told. This does not wait for the next report, since a limit holds at once. */
    Transition<GatewayState, GatewayAction> share(GatewayState state, Instant now) {
        List<LimitReport> reports = state.rateLimits().unsharedReports(now);
        return reports.isEmpty()
                ? Transition.to(state)
                : Transition.<GatewayState, GatewayAction>to(
                                state.with(state.rateLimits().asShared()))
                        .then(new GatewayAction.ShareRateLimits(reports));
    }

    /** Forgets the limits of upstreams that are gone, and the permits for upstreams without a limit. */
    static GatewayState withoutExpired(GatewayState state, Instant now) {
        RateLimits limits = state.rateLimits().withoutExpired(state::isRegistered, now);
        return state.with(limits).with(state.permits().retaining(limits.named().keySet()));
    }
}
