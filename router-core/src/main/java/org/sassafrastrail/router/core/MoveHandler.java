package org.sassafrastrail.router.core;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.EvidenceUpdate;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.MoveUpdate;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.rollout.MoveRegistry;
import org.sassafrastrail.rollout.RegressionDetector;
import org.sassafrastrail.rules.MoveRule;

/**
 * Tracks the progress of moves, and suspends a new version as soon as the evidence shows a regression, without waiting for
 * the platform.
 */
final class MoveHandler {

    private final RegressionDetector detector;

    MoveHandler(RegressionDetector detector) {
        this.detector = detector;
    }

    Transition<RouterState, RouterAction> updated(
            RouterState state, List<MoveProgress> steps, List<Suspension> suspensions) {
        MoveRegistry merged = state.moveRegistry().merge(steps, suspensions);
        return merged == state.moveRegistry() ? Transition.to(state) : broadcast(state.with(merged));
    }

    Transition<RouterState, RouterAction> evidenceReceived(RouterState state, EvidenceUpdate update) {
        RouterState merged = state.with(state.evidence().merge(update.entries()));
        Stream<Suspension> suspensions = merged.rules().moves().stream()
                .map(MoveRule::move)
                .filter(move -> merged.moveRegistry().suspension(move).isEmpty())
                .filter(move -> merged.moveRegistry().progress(move).verdict() == MoveProgress.Verdict.RUNNING)
                .map(move -> suspension(merged, move))
                .flatMap(Optional::stream);
        return Transition.<RouterState, RouterAction>to(merged).forEach(suspensions, MoveHandler::suspend);
    }

    private Optional<Suspension> suspension(RouterState state, MoveIdentifier move) {
        MoveProgress.Reason reason = detector.detect(
                state.evidence().evidence(move, move.to()), state.evidence().evidence(move, move.from()));
        return reason == MoveProgress.Reason.NONE ? Optional.empty() : Optional.of(new Suspension(move, reason));
    }

    private static Transition<RouterState, RouterAction> suspend(RouterState state, Suspension suspension) {
        return broadcast(state.with(state.moveRegistry().plus(suspension)))
                .then(new RouterAction.VersionSuspended(suspension));
    }

    private static Transition<RouterState, RouterAction> broadcast(RouterState state) {
        MoveUpdate update = new MoveUpdate(
                state.moveRegistry().steps(), state.moveRegistry().suspensions());
        return Transition.<RouterState, RouterAction>to(state)
                .thenAll(state.sidecars().keySet().stream()
                        .map(node -> new RouterAction.SendMessage(node, update))
                        .toList());
    }
}
