package org.sassafrastrail.model;

import java.time.Instant;

/**
 * Identifies one version move. A new due time makes a new move, which is how operators retry a suspended
 * version.
 *
 * @param target the model or service
 * @param from the version that loses the traffic
 * @param to the version that receives it
 * @param due when the move should be complete
 */
public record MoveIdentifier(TargetName target, VersionName from, VersionName to, Instant due) {

    /** Validates that the versions differ. */
    public MoveIdentifier {
        if (from.equals(to)) {
            throw new IllegalArgumentException("a move needs two different versions");
        }
    }

    /**
     * Returns the move as a single word, for table keys and logs.
     *
     * @return the target, both versions and the due time
     */
    public String label() {
        return target + "/" + from + "/" + to + "/" + due;
    }
}
