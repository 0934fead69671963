package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pcollections.PSet;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.crash.Crash;
import org.sassafrastrail.gate.crash.CrashAttribution;
import org.sassafrastrail.gate.crash.CrashEvidence;
import org.sassafrastrail.gate.crash.CrashRecord;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.model.RefusalReason;

/**
 * Collects the evidence of crashes of upstreams and shares it with the peers. Requests to which the crashes are attributed
 * are refused, and those that have been sent are cancelled before the upstream responds to them.
 */
final class CrashHandler {

    private final GatewayLimits limits;
    private final CrashAttribution attribution;
    private final CallHandler calls;

    CrashHandler(GatewayLimits limits, CrashAttribution attribution, CallHandler calls) {
        this.limits = limits;
        this.attribution = attribution;
        this.calls = calls;
    }

    /** Records the end of an attempt: a loss before the response, or a failed connection, which confirms a crash. */
    static GatewayState attemptEnded(GatewayState state, Call call, AttemptResult result, Instant now) {
        Attempt attempt = call.attempt().orElseThrow();
        UpstreamIncarnation upstream = attempt.upstream().incarnation();
        if (result instanceof AttemptResult.NotConnected) {
            return state.with(state.crashes().withEnded(upstream));
        }
        Set<String> parts = call.description().prompt().partIdentifiers();
        boolean lost = result instanceof AttemptResult.Lost || result instanceof AttemptResult.Broken;
        return lost && attempt.prefilling() && !parts.isEmpty()
                ? state.with(state.crashes().withLost(upstream, parts, attempt.dispatchedAt(), now))
                : state;
    }

    /** Records that an upstream started the response to a request. */
    static GatewayState served(GatewayState state, Call call, Instant now) {
        return state.with(state.crashes().withServed(call.description().prompt().partIdentifiers(), now));
    }

    /** Records that upstreams are no longer registered, which confirms their crashes. */
    static GatewayState unregistered(GatewayState state, Stream<UpstreamIncarnation> upstreams) {
        return state.with(upstreams.reduce(state.crashes(), CrashEvidence::withEnded, (first, second) -> second));
    }

    Transition<GatewayState, GatewayAction> peerCrashesReceived(
            GatewayState state, GatewayEvent.PeerCrashesReceived event, Instant now) {
        Map<UpstreamIncarnation, Crash> reported = event.crashes().stream()
                .collect(Collectors.toMap(
                        CrashReport::upstream, report -> report.toCrash(now), (first, repeated) -> repeated));
        return Transition.to(state.with(state.crashes().mergedWith(reported)));
    }

    /** Tells the peers what they have not been told. */
    Transition<GatewayState, GatewayAction> share(GatewayState state, Instant now) {
        List<CrashReport> reports = reports(state.crashes().toShare(), now);
        return reports.isEmpty()
                ? Transition.to(state)
                : Transition.<GatewayState, GatewayAction>to(
                                state.with(state.crashes().asShared()))
                        .then(new GatewayAction.ShareCrashes(reports));
    }

    /** Records what has changed of the evidence that has to outlive all gateways. */
    static Transition<GatewayState, GatewayAction> record(GatewayState state, Instant now) {
        CrashRecord before = state.crashRecord();
        CrashRecord next = before.updatedFrom(state.crashes(), now);
        Transition<GatewayState, GatewayAction> updated = Transition.to(state.with(next));
        return next.crashes() == before.crashes()
                ? updated
                : updated.then(new GatewayAction.RecordCrashes(reports(next.crashes(), now)));
    }

    private static List<CrashReport> reports(Map<UpstreamIncarnation, Crash> crashes, Instant now) {
        return crashes.entrySet().stream()
                .map(crash -> CrashReport.of(crash.getKey(), crash.getValue(), now))
                .toList();
    }

    /** Drops old evidence, attributes crashes to their causes, and ends the requests that would crash more upstreams. */
    Transition<GatewayState, GatewayAction> attribute(GatewayState state, Instant now) {
        CrashEvidence evidence =
                state.crashes().withoutExpired(limits.crashRetention(), now).attributedBy(attribution);
        PSet<PSet<String>> before = state.crashes().causes();
        Transition<GatewayState, GatewayAction> attributed = Transition.to(state.with(evidence));
        return evidence.causes().equals(before)
                ? attributed
                : attributed
                        .thenAll(reports(evidence.causes().minusAll(before), true))
                        .thenAll(reports(before.minusAll(evidence.causes()), false))
                        .and(next -> endCauses(next, now));
    }

    private static List<GatewayAction> reports(PSet<PSet<String>> causes, boolean refused) {
        return causes.stream()
                .map(parts -> (GatewayAction) new GatewayAction.ReportCrashCause(parts, refused))
                .toList();
    }

    /** Ends the requests under which upstreams would crash, as far as no upstream has started to respond to them. */
    private Transition<GatewayState, GatewayAction> endCauses(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(
                        state.calls().values().stream()
                                .filter(call -> state.crashesUpstreams(call.description()))
                                .filter(call ->
                                        call.attempt().map(Attempt::prefilling).orElse(true)),
                        (next, call) -> end(next, call, now));
    }

    private Transition<GatewayState, GatewayAction> end(GatewayState state, Call call, Instant now) {
        return call.isQueued()
                ? calls.refuse(state, call, RefusalReason.UPSTREAM_CRASHES, now)
                : CallHandler.cancel(state, call).then(new GatewayAction.ReportUnknownOutcome(call.number(), false));
    }
}
