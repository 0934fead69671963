package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.capacity.LearnedCapacity;
import org.sassafrastrail.gate.capacity.UpstreamWork;
import org.sassafrastrail.gate.capacity.WorkKind;
import org.sassafrastrail.model.TargetName;

/** Learns the speed of upstreams from responses, and shares it with the peers. */
final class CapacityHandler {

    /** At a longer lag of this process, the time of a response says more about the process than about the upstream. */
    private static final Duration MAX_LAG = Duration.ofMillis(25);

    private final GatewayLimits limits;

    CapacityHandler(GatewayLimits limits) {
        this.limits = limits;
    }

    Transition<GatewayState, GatewayAction> lagMeasured(
            GatewayState state, GatewayEvent.LagMeasured event, Instant now) {
        return Transition.to(state.with(state.capacity().withLag(event.lag())));
    }

    /**
     * Learns from a response of a plain service, unless it is cold or this process lags, which says nothing about later. Engines are
     * not ranked by what was learned, so their responses are left aside.
     */
    static GatewayState responseStarted(GatewayState state, Attempt attempt, Instant now) {
        boolean lagging = state.capacity().lag().compareTo(MAX_LAG) > 0;
        return state.upstreamOf(attempt)
                .filter(upstream -> !isSentToEngine(attempt) && !upstream.isCold(now) && !lagging)
                .map(upstream -> state.with(state.capacity()
                        .withResponse(
                                new UpstreamWork(attempt.upstream().incarnation(), WorkKind.SERVICE),
                                attempt.runningBefore(),
                                Duration.between(attempt.dispatchedAt(), now),
                                now)))
                .orElse(state);
    }

    /** Only requests to engines have tokens to prefill. */
    private static boolean isSentToEngine(Attempt attempt) {
        return attempt.prefillTokens() > 0;
    }

    Transition<GatewayState, GatewayAction> peerCapacityReceived(
            GatewayState state, GatewayEvent.PeerCapacityReceived event, Instant now) {
        return Transition.to(
                state.with(state.capacity().withReport(event.peer(), event.incarnation(), event.report(), now)));
    }

    /** Derives the speeds from what was learned, and reports those that changed between usual and unusual. */
    Transition<GatewayState, GatewayAction> evaluate(GatewayState state, Instant now) {
        LearnedCapacity known = state.capacity();
        if (!known.isEvaluationDue(now)) {
            return Transition.to(state);
        }
        LearnedCapacity next = known.evaluated(targets(state), 1 / limits.prefillTokensPerMillisecond(), now);
        return Transition.<GatewayState, GatewayAction>to(state.with(next))
                .thenAll(Stream.concat(known.estimates().keySet().stream(), next.estimates().keySet().stream())
                        .distinct()
                        .filter(work -> known.estimate(work).differs()
                                != next.estimate(work).differs())
                        .map(work -> new GatewayAction.ReportSpeed(work, next.estimate(work)))
                        .toList());
    }

    private static Map<UpstreamWork, TargetName> targets(GatewayState state) {
        return state.upstreams().values().stream()
                .map(UpstreamState::upstream)
                .flatMap(upstream -> Stream.of(WorkKind.values())
                        .map(kind -> Map.entry(new UpstreamWork(upstream.incarnation(), kind), upstream.target())))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Tells the peers what they have not been told, if there are any. */
    Transition<GatewayState, GatewayAction> share(GatewayState state, Instant now) {
        return state.peers().reports().isEmpty()
                ? Transition.to(state)
                : state.capacity()
                        .dueReport(now)
                        .map(report -> Transition.<GatewayState, GatewayAction>to(
                                        state.with(state.capacity().asShared(now)))
                                .then(new GatewayAction.ShareCapacity(report)))
                        .orElseGet(() -> Transition.to(state));
    }
}
