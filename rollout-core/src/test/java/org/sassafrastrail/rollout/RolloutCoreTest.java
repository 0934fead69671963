package org.sassafrastrail.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.rules.RuleFileParser;
import org.sassafrastrail.rules.RuleParseResult;
import org.sassafrastrail.rules.RuleSet;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutCoreTest {

    private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
    private static final TrafficShare STEP = new TrafficShare(50);
    private static final RuleSet RULES = ((RuleParseResult.Accepted) new RuleFileParser()
                    .parse("model report version v1 cold 1 warm 8 # test\n"
                            + "move report from v1 to v2 by 2026-12-04T11:00:00Z # test\n"))
            .rules();
    private static final MoveIdentifier MOVE = RULES.moves().get(0).move();

    private final RolloutCore core =
            new RolloutCore(new PacedRolloutPolicy(10, Duration.ofSeconds(10)), new BaselineRegressionDetector());
    private RolloutState state = RolloutState.INITIAL;
    private List<RolloutAction> actions = List.of();

    @BeforeEach
    void setInputs() {
        handle(new RolloutEvent.InputsUpdated(RULES, EvidenceLedger.EMPTY, MoveRegistry.EMPTY), START);
    }

    private void handle(RolloutEvent event, Instant now) {
        Transition<RolloutState, RolloutAction> transition = core.handle(state, event, now);
        state = transition.state();
        actions = transition.actions();
    }

    private void acquireLease(long fencingToken) {
        handle(new RolloutEvent.LeaseHeld(new ControllerLease(fencingToken, START.plusSeconds(5))), START);
    }

    private static MoveProgress step(long fencingToken, int number, TrafficShare share) {
        return new MoveProgress(
                MOVE, fencingToken, number, share, MoveProgress.Verdict.RUNNING, MoveProgress.Reason.NONE);
    }

    @Test
    void withoutLeaseOnlyLeaseIsRequested() {
        handle(new RolloutEvent.Tick(), START);

        assertThat(actions).containsExactly(new RolloutAction.AcquireLease());
    }

    @Test
    void expiredLeaseIsNotUsed() {
        acquireLease(1);
        handle(new RolloutEvent.StepRowReceived(step(1, 1, STEP), 1), START);
        handle(new RolloutEvent.Tick(), START.plusSeconds(30));

        assertThat(actions).containsExactly(new RolloutAction.AcquireLease());
    }

    @Test
    void newLeaseHolderFirstRecordsStepUnderItsFencingToken() {
        acquireLease(2);
        handle(new RolloutEvent.StepRowReceived(step(1, 4, STEP), 7), START);
        handle(new RolloutEvent.Tick(), START);

        assertThat(actions).contains(new RolloutAction.RecordStep(step(2, 5, STEP), 7));
    }

    @Test
    void suspendedVersionIsRolledBack() {
        acquireLease(1);
        handle(new RolloutEvent.StepRowReceived(step(1, 2, STEP), 2), START);
        MoveRegistry registry = MoveRegistry.EMPTY.plus(new Suspension(MOVE, MoveProgress.Reason.SLOW));
        handle(new RolloutEvent.InputsUpdated(RULES, EvidenceLedger.EMPTY, registry), START);
        handle(new RolloutEvent.Tick(), START);

        assertThat(actions)
                .contains(new RolloutAction.RecordStep(
                        new MoveProgress(
                                MOVE,
                                1,
                                3,
                                TrafficShare.NONE,
                                MoveProgress.Verdict.TAKEN_BACK,
                                MoveProgress.Reason.SLOW),
                        2));
    }

    @Test
    void stepsOnlyAdvanceAndVerdictIsFinal() {
        MoveProgress done =
                new MoveProgress(MOVE, 1, 3, TrafficShare.FULL, MoveProgress.Verdict.DONE, MoveProgress.Reason.NONE);
        MoveRegistry registry = MoveRegistry.EMPTY.plus(step(1, 2, STEP)).plus(step(1, 1, TrafficShare.NONE));

        assertThat(registry.progress(MOVE).stepNumber()).isEqualTo(2);
        assertThat(registry.plus(done).plus(step(9, 9, STEP)).progress(MOVE)).isEqualTo(done);
    }
}
