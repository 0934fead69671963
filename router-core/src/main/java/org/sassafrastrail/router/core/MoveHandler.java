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

/** Learns of moves, and suspends a version as soon as its faults show, without asking the platform. */
final class MoveHandler {

    private final RegressionDetector detector;

    MoveHandler(RegressionDetector detector) {
        this.detector = detector;
    }

    Transition<RouterState, RouterAction> updated(
            RouterState state, List<MoveProgress> steps, List<Suspension> suspensions) {
        MoveRegistry merged = state.moveStatus().merge(steps, suspensions);
        return merged == state.moveStatus() ? Transition.stay(state) : broadcast(state.with(merged));
    }

    Transition<RouterState, RouterAction> evidenceReceived(RouterState state, EvidenceUpdate update) {
        RouterState known = state.with(state.evidence().merge(update.entries()));
        Stream<Suspension> faults = known.rules().moves().stream()
                .map(MoveRule::move)
                .filter(move -> known.moveStatus().suspension(move).isEmpty())
                .filter(move -> known.moveStatus().progress(move).verdict() == MoveProgress.Verdict.RUNNING)
                .map(move -> suspension(known, move))
                .flatMap(Optional::stream);
        return Transition.<RouterState, RouterAction>stay(known).forEach(faults, MoveHandler::suspend);
    }

    private Optional<Suspension> suspension(RouterState state, MoveIdentifier move) {
        MoveProgress.Reason reason = detector.detect(
                state.evidence().evidence(move, move.to()), state.evidence().evidence(move, move.from()));
        return reason == MoveProgress.Reason.NONE ? Optional.empty() : Optional.of(new Suspension(move, reason));
    }

    private static Transition<RouterState, RouterAction> suspend(RouterState state, Suspension suspension) {
        return broadcast(state.with(state.moveStatus().plus(suspension)))
                .then(new RouterAction.VersionSuspended(suspension));
    }

    private static Transition<RouterState, RouterAction> broadcast(RouterState state) {
        MoveUpdate update =
                new MoveUpdate(state.moveStatus().steps(), state.moveStatus().suspensions());
        return Transition.<RouterState, RouterAction>stay(state)
                .thenAll(state.sidecars().keySet().stream()
                        .map(node -> new RouterAction.SendMessage(node, update))
                        .toList());
    }
}
