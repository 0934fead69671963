package org.sassafrastrail.rollout;

import org.sassafrastrail.messages.EvidenceEntry;

/**
 * What was seen of a version.
 *
 * @param attempts how many attempts ended in all
 * @param recentAttempts how many attempts ended recently
 * @param recentFailures how many of the recent ones the version failed
 * @param recentLatencySum the sum of the times to the first byte of the recent ones that did not fail, in milliseconds
 */
public record VersionEvidence(long attempts, double recentAttempts, double recentFailures, double recentLatencySum) {

    /** Nothing was seen. */
    public static final VersionEvidence NONE = new VersionEvidence(0, 0, 0, 0);

    static VersionEvidence of(EvidenceEntry entry) {
        return new VersionEvidence(
                entry.attempts(), entry.recentAttempts(), entry.recentFailures(), entry.recentLatencySum());
    }

    /**
     * Adds evidence.
     *
     * @param other other evidence
     * @return the sum
     */
    public VersionEvidence plus(VersionEvidence other) {
        return new VersionEvidence(
                attempts + other.attempts,
                recentAttempts + other.recentAttempts,
                recentFailures + other.recentFailures,
                recentLatencySum + other.recentLatencySum);
    }

    /**
     * Returns the share of failures among the recent attempts.
     *
     * @return from 0 to 1; 0 if there were no attempts
     */
    public double failureRatio() {
        return recentAttempts == 0 ? 0 : recentFailures / recentAttempts;
    }

    /**
     * Returns how many of the recent attempts were answered.
     *
     * @return the number, which fades
     */
    public double recentResponses() {
        return recentAttempts - recentFailures;
    }

    /**
     * Returns the mean time to the first byte of the recent answers.
     *
     * @return milliseconds; 0 if none was answered
     */
    public double meanLatency() {
        return recentResponses() <= 0 ? 0 : recentLatencySum / recentResponses();
    }
}
