package org.sassafrastrail.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.TrafficShare;

/**
 * Increases the share of the new version in fixed steps. Each step waits for enough evidence and for its part of the
 * time that remains until the move is due. Only half of the remaining time is planned for, so that a healthy version
 * receives all traffic before the move is due.
 */
public final class PacedRolloutPolicy implements RolloutPolicy {

    private static final List<TrafficShare> SHARES = List.of(
            new TrafficShare(10),
            new TrafficShare(50),
            new TrafficShare(150),
            new TrafficShare(400),
            new TrafficShare(700),
            TrafficShare.FULL);

    private final long minimumAttempts;
    private final Duration maximumStepDuration;

    /**
     * Creates the policy.
     *
     * @param minimumAttempts how many attempts have to end before the next step, unless twice its planned time has
     *     passed
     * @param maximumStepDuration the maximum time between two steps, however far away the due time is
     */
    public PacedRolloutPolicy(long minimumAttempts, Duration maximumStepDuration) {
        this.minimumAttempts = minimumAttempts;
        this.maximumStepDuration = maximumStepDuration;
    }

    @Override
    public TrafficShare nextShare(MoveProgress progress, long attempts, Instant lastStep, Instant now) {
        long stepsLeft = SHARES.stream()
                .filter(share -> share.compareTo(progress.share()) > 0)
                .count();
        if (stepsLeft == 0) {
            return progress.share();
        }
        Duration duration = stepDuration(progress, lastStep, stepsLeft);
        boolean due = !now.isBefore(lastStep.plus(duration));
        boolean first = progress.share().equals(TrafficShare.NONE);
        boolean enoughEvidence = first || attempts >= minimumAttempts;
        boolean overdue = !now.isBefore(lastStep.plus(duration.multipliedBy(2)));
        return first || due && (enoughEvidence || overdue) ? nextAbove(progress.share()) : progress.share();
    }

    private Duration stepDuration(MoveProgress progress, Instant lastStep, long stepsLeft) {
        Duration remaining = Duration.between(lastStep, progress.move().due());
        Duration planned = remaining.isNegative() ? Duration.ZERO : remaining.dividedBy(2 * stepsLeft);
        return planned.compareTo(maximumStepDuration) < 0 ? planned : maximumStepDuration;
    }

    private static TrafficShare nextAbove(TrafficShare share) {
        return SHARES.stream()
                .filter(step -> step.compareTo(share) > 0)
                .findFirst()
                .orElse(TrafficShare.FULL);
    }
}
