package org.sassafrastrail.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.TrafficShare;

/**
 * Goes up a ladder of shares. A step waits for evidence, and for its part of the time that is left until the move is
 * due; the last steps are kept short of the due time, so that a good version finishes by it.
 */
public final class PacedRolloutPolicy implements RolloutPolicy {

    private static final List<TrafficShare> LADDER = List.of(
            new TrafficShare(10),
            new TrafficShare(50),
            new TrafficShare(150),
            new TrafficShare(400),
            new TrafficShare(700),
            TrafficShare.FULL);

    private final long leastEvidence;
    private final Duration longestStep;

    /**
     * Sets the pace.
     *
     * @param leastEvidence how many attempts have to end before the next step, unless time is short
     * @param longestStep the longest wait for a step, however far away the due time is
     */
    public PacedRolloutPolicy(long leastEvidence, Duration longestStep) {
        this.leastEvidence = leastEvidence;
        this.longestStep = longestStep;
    }

    @Override
    public TrafficShare nextShare(MoveProgress progress, long seen, Instant lastStep, Instant now) {
        long stepsLeft = LADDER.stream()
                .filter(share -> share.compareTo(progress.share()) > 0)
                .count();
        if (stepsLeft == 0) {
            return progress.share();
        }
        Duration pace = pace(progress, lastStep, stepsLeft);
        boolean paced = !now.isBefore(lastStep.plus(pace));
        boolean first = progress.share().equals(TrafficShare.NONE);
        boolean enough = first || seen >= leastEvidence;
        boolean late = !now.isBefore(lastStep.plus(pace.multipliedBy(2)));
        return first || paced && (enough || late) ? above(progress.share()) : progress.share();
    }

    private Duration pace(MoveProgress progress, Instant lastStep, long stepsLeft) {
        Duration left = Duration.between(lastStep, progress.move().due());
        Duration even = left.isNegative() ? Duration.ZERO : left.dividedBy(2 * stepsLeft);
        return even.compareTo(longestStep) < 0 ? even : longestStep;
    }

    private static TrafficShare above(TrafficShare share) {
        return LADDER.stream()
                .filter(step -> step.compareTo(share) > 0)
                .findFirst()
                .orElse(TrafficShare.FULL);
    }
}
