package org.sassafrastrail.rollout;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.rules.MoveRule;

/**
 * The controller of version moves. It acts only while it holds the lease. A new holder first records each move again
 * under its own fencing token, so that a delayed write of an earlier holder finds a changed row and is rejected.
 */
public final class RolloutCore implements DecisionCore<RolloutState, RolloutEvent, RolloutAction> {

    private final RolloutPolicy policy;
    private final RegressionDetector detector;
    private final DecisionCore<RolloutState, RolloutEvent, RolloutAction> handlers;

    /**
     * Creates the controller.
     *
     * @param policy decides when a move takes its next step
     * @param detector detects that a new version has to be rolled back
     */
    public RolloutCore(RolloutPolicy policy, RegressionDetector detector) {
        this.policy = policy;
        this.detector = detector;
        this.handlers = EventRouter.<RolloutState, RolloutEvent, RolloutAction>over(RolloutEvent.class)
                .on(RolloutEvent.Tick.class, (state, event, now) -> tick(state, now))
                .on(
                        RolloutEvent.InputsUpdated.class,
                        (state, event, now) -> Transition.<RolloutState, RolloutAction>to(state.with(event)))
                .on(
                        RolloutEvent.LeaseHeld.class,
                        (state, event, now) ->
                                Transition.<RolloutState, RolloutAction>to(state.withLease(event.lease())))
                .on(
                        RolloutEvent.LeaseHeldByOther.class,
                        (state, event, now) -> Transition.<RolloutState, RolloutAction>to(state.withoutLease()))
                .on(RolloutEvent.StepRowReceived.class, this::stepRowReceived)
                .complete();
    }

    @Override
    public Transition<RolloutState, RolloutAction> handle(RolloutState state, RolloutEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }

    private Transition<RolloutState, RolloutAction> tick(RolloutState state, Instant now) {
        if (state.inputs().rules().moves().isEmpty()) {
            return Transition.to(state);
        }
        Transition<RolloutState, RolloutAction> acquiring =
                Transition.<RolloutState, RolloutAction>to(state).then(new RolloutAction.AcquireLease());
        boolean holdsLease = state.lease().filter(lease -> lease.isValidAt(now)).isPresent();
        return holdsLease
                ? acquiring.forEach(
                        state.inputs().rules().moves().stream().map(MoveRule::move),
                        (next, move) -> advance(next, move, now))
                : acquiring;
    }

    private Transition<RolloutState, RolloutAction> advance(RolloutState state, MoveIdentifier move, Instant now) {
        MoveRecord known = state.records().get(move);
        Transition<RolloutState, RolloutAction> unchanged = Transition.to(state);
        if (known == null) {
            return unchanged.then(new RolloutAction.ReadStep(move));
        }
        long fencingToken = state.lease().orElseThrow().fencingToken();
        MoveProgress progress = known.progress();
        if (progress.verdict() != MoveProgress.Verdict.RUNNING) {
            return unchanged;
        }
        if (progress.fencingToken() < fencingToken) {
            return unchanged.then(recordStep(known, fencingToken, progress.share()));
        }
        MoveProgress.Reason reason = regression(state, move);
        if (reason != MoveProgress.Reason.NONE) {
            return unchanged
                    .then(new RolloutAction.AnnounceSuspension(new Suspension(move, reason)))
                    .then(rollBack(known, fencingToken, reason));
        }
        long attempts = attempts(state, move) - known.attemptsAtFirstSeen();
        TrafficShare share = policy.nextShare(progress, attempts, known.firstSeenAt(), now);
        return share.equals(progress.share()) ? unchanged : unchanged.then(recordStep(known, fencingToken, share));
    }

    private MoveProgress.Reason regression(RolloutState state, MoveIdentifier move) {
        Optional<Suspension> suspension = state.inputs().moveRegistry().suspension(move);
        EvidenceLedger evidence = state.inputs().evidence();
        return suspension
                .map(Suspension::reason)
                .orElseGet(() ->
                        detector.detect(evidence.evidence(move, move.to()), evidence.evidence(move, move.from())));
    }

    private static RolloutAction recordStep(MoveRecord known, long fencingToken, TrafficShare share) {
        MoveProgress.Verdict verdict =
                share.equals(TrafficShare.FULL) ? MoveProgress.Verdict.DONE : MoveProgress.Verdict.RUNNING;
        return new RolloutAction.RecordStep(
                new MoveProgress(
                        known.progress().move(),
                        fencingToken,
                        known.progress().stepNumber() + 1,
                        share,
                        verdict,
                        MoveProgress.Reason.NONE),
                known.rowVersion());
    }

    private static RolloutAction rollBack(MoveRecord known, long fencingToken, MoveProgress.Reason reason) {
        return new RolloutAction.RecordStep(
                new MoveProgress(
                        known.progress().move(),
                        fencingToken,
                        known.progress().stepNumber() + 1,
                        TrafficShare.NONE,
                        MoveProgress.Verdict.TAKEN_BACK,
                        reason),
                known.rowVersion());
    }

    private Transition<RolloutState, RolloutAction> stepRowReceived(
            RolloutState state, RolloutEvent.StepRowReceived event, Instant now) {
        MoveIdentifier move = event.recorded().move();
        MoveRecord known = state.records().get(move);
        boolean sameShare = known != null
                && known.progress().share().equals(event.recorded().share());
        Instant firstSeenAt = sameShare ? known.firstSeenAt() : now;
        long attemptsAtFirstSeen = sameShare ? known.attemptsAtFirstSeen() : attempts(state, move);
        return Transition.<RolloutState, RolloutAction>to(state.with(
                        move, new MoveRecord(event.recorded(), event.rowVersion(), firstSeenAt, attemptsAtFirstSeen)))
                .then(new RolloutAction.AnnounceStep(event.recorded()));
    }

    private static long attempts(RolloutState state, MoveIdentifier move) {
        return state.inputs().evidence().evidence(move, move.to()).stream()
                .mapToLong(route -> route.evidence().attempts())
                .sum();
    }
}
