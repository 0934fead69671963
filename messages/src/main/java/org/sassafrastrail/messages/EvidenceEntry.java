package org.sassafrastrail.messages;

import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.VersionName;

/**
 * The results of the attempts that one sidecar incarnation has seen for a version and a route during a version move. Only
 * its writer changes an entry, so of two copies the one with more attempts is newer. The recent values decay
 * exponentially with each further attempt.
 *
 * @param writer the sidecar incarnation that counts the attempts
 * @param move the version move in progress
 * @param version the version that the upstream runs
 * @param route the route of the requests
 * @param attempts the number of ended attempts, without decay
 * @param recentAttempts the decayed number of ended attempts
 * @param recentFailures the decayed number of failed attempts: lost connections and responses with status 429 or 5xx
 * @param recentLatencySum the decayed sum of the times to first byte of the successful attempts, in milliseconds
 */
public record EvidenceEntry(
        LedgerWriter writer,
        MoveIdentifier move,
        VersionName version,
        String route,
        long attempts,
        double recentAttempts,
        double recentFailures,
        double recentLatencySum) {

    private static final double DECAY_FACTOR = 0.95;

    /**
     * Creates an entry without attempts.
     *
     * @param writer the sidecar incarnation that counts the attempts
     * @param move the version move in progress
     * @param version the version that the upstream runs
     * @param route the route of the requests
     * @return the empty entry
     */
    public static EvidenceEntry empty(LedgerWriter writer, MoveIdentifier move, VersionName version, String route) {
        return new EvidenceEntry(writer, move, version, route, 0, 0, 0, 0);
    }

    /**
     * Adds a successful attempt.
     *
     * @param latencyMilliseconds the time to first byte
     * @return the updated entry
     */
    public EvidenceEntry withSuccess(long latencyMilliseconds) {
        return plus(0, latencyMilliseconds);
    }

    /**
     * Adds a failed attempt.
     *
     * @return the updated entry
     */
    public EvidenceEntry withFailure() {
        return plus(1, 0);
    }

    private EvidenceEntry plus(int failures, long latencyMilliseconds) {
        return new EvidenceEntry(
                writer,
                move,
                version,
                route,
                attempts + 1,
                recentAttempts * DECAY_FACTOR + 1,
                recentFailures * DECAY_FACTOR + failures,
                recentLatencySum * DECAY_FACTOR + latencyMilliseconds);
    }
}
