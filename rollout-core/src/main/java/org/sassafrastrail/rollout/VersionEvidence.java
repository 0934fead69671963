package org.sassafrastrail.rollout;

import org.sassafrastrail.messages.EvidenceEntry;

/**
 * Evidence on a version: the attempts at it, their failures and their latency. The recent values decay exponentially.
 *
 * @param attempts the total number of ended attempts
 * @param recentAttempts the decaying number of ended attempts
 * @param recentFailures the decaying number of attempts that the version failed
 * @param recentLatencySum the decaying sum of the times to the first byte of the attempts that did not fail, in
 *     milliseconds
 */
public record VersionEvidence(long attempts, double recentAttempts, double recentFailures, double recentLatencySum) {

    /** No evidence. */
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
     * Returns how many of the recent attempts got a response.
     *
     * @return the decaying number
     */
    public double recentResponses() {
        return recentAttempts - recentFailures;
    }

    /**
     * Returns the mean time to the first byte of the recent responses.
     *
     * @return the mean in milliseconds; 0 if there were no responses
     */
    public double meanLatency() {
        return recentResponses() <= 0 ? 0 : recentLatencySum / recentResponses();
    }
}
