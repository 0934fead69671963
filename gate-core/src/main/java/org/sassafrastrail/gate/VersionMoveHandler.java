package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.TargetName;

/** Handles moves to another version: collects the evidence on both versions, and rejects a new one that is worse. */
final class VersionMoveHandler {

    /** Applies the orders. A trial goes on while its order stands, and the rejection of a version outlasts its order. */
    Transition<GatewayState, GatewayAction> movesChanged(
            GatewayState state, GatewayEvent.VersionMovesChanged event, Instant now) {
        PMap<TargetName, VersionTrial> kept = HashTreePMap.from(state.versionTrials().values().stream()
                .filter(trial -> trial.rejected() || event.moves().contains(trial.move()))
                .collect(Collectors.toMap(trial -> trial.move().target(), trial -> trial)));
        PMap<TargetName, VersionTrial> started = HashTreePMap.from(event.moves().stream()
                .filter(move -> !isOnTrial(kept, move))
                .collect(Collectors.toMap(VersionMove::target, VersionTrial::of)));
        return Transition.to(state.withVersionTrials(kept.plusAll(started)));
    }

    private static boolean isOnTrial(PMap<TargetName, VersionTrial> trials, VersionMove move) {
        VersionTrial trial = trials.get(move.target());
        return trial != null && trial.move().equals(move);
    }

    /** Applies the rejection of a version by another gateway. */
    Transition<GatewayState, GatewayAction> versionRejected(
            GatewayState state, GatewayEvent.VersionRejected event, Instant now) {
        return Transition.to(change(
                state, event.move().target(), trial -> trial.move().equals(event.move()) ? trial.asRejected() : trial));
    }

    /** Rejects new versions that are worse than the others. */
    static Transition<GatewayState, GatewayAction> rejectWorseVersions(GatewayState state) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(
                        state.versionTrials().values().stream()
                                .filter(trial -> !trial.rejected() && trial.isNewVersionWorse()),
                        (next, trial) -> Transition.<GatewayState, GatewayAction>to(
                                        change(next, trial.move().target(), VersionTrial::asRejected))
                                .then(new GatewayAction.RejectVersion(trial.move())));
    }

    static GatewayState dispatched(GatewayState state, Upstream upstream) {
        return change(state, upstream.target(), trial -> trial.withDispatch(upstream));
    }

    static GatewayState responseStarted(GatewayState state, Call call, Attempt attempt, Instant now) {
        Duration time = Duration.between(attempt.dispatchedAt(), now);
        return change(
                state,
                call.target(),
                trial -> trial.withResponse(call.description().route(), attempt.upstream(), time));
    }

    static GatewayState attemptFailed(GatewayState state, Call call, Attempt attempt) {
        return change(
                state,
                call.target(),
                trial -> trial.withFailure(call.description().route(), attempt.upstream()));
    }

    /** An attempt that is given up after its latency target without a response took at least that long. */
    static GatewayState attemptGivenUp(GatewayState state, Call call, Attempt attempt, Instant now) {
        boolean late = Duration.between(attempt.dispatchedAt(), now)
                        .compareTo(call.description().route().latencyTarget())
                > 0;
        return attempt.prefilling() && late ? responseStarted(state, call, attempt, now) : state;
    }

    private static GatewayState change(GatewayState state, TargetName target, UnaryOperator<VersionTrial> change) {
        VersionTrial trial = state.versionTrials().get(target);
        return trial == null
                ? state
                : state.withVersionTrials(state.versionTrials().plus(target, change.apply(trial)));
    }
}
