package org.sassafrastrail.messages;

import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.VersionName;

/**
 * What one sidecar's life has seen of its version on one route while a move is in force. Only its writer changes it; the
 * entry with the most attempts is the newest. The recent numbers fade as newer attempts come in.
 *
 * @param writer the sidecar's life
 * @param move the move in force
 * @param version the version that the upstream runs
 * @param route the route of the requests
 * @param attempts how many attempts ended in all
 * @param recentAttempts how many attempts ended recently
 * @param recentFailures how many of the recent ones the version failed
 * @param recentLatencySum the sum of the times to the first byte of the recent ones that did not fail, in milliseconds
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
     * Starts without attempts.
     *
     * @param writer the sidecar's life
     * @param move the move in force
     * @param version the version that the upstream runs
     * @param route the route of the requests
     * @return an entry that counts nothing yet
     */
    public static EvidenceEntry empty(LedgerWriter writer, MoveIdentifier move, VersionName version, String route) {
        return new EvidenceEntry(writer, move, version, route, 0, 0, 0, 0);
    }

    /**
     * Counts an attempt that the version answered.
     *
     * @param latencyMilliseconds the time to the first byte
     * @return the entry that counts it
     */
    public EvidenceEntry withSuccess(long latencyMilliseconds) {
        return plus(0, latencyMilliseconds);
    }

    /**
     * Counts an attempt that the version failed.
     *
     * @return the entry that counts it
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
