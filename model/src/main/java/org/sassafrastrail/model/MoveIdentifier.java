package org.sassafrastrail.model;

import java.time.Instant;

/**
 * Identifies one version move. A new due time makes a new move, which is how operators try a suspended version again.
 *
 * @param target the model or service
 * @param from the version that gives up the traffic
 * @param to the version that takes it over
 * @param due when the move should be finished
 */
public record MoveIdentifier(TargetName target, VersionName from, VersionName to, Instant due) {

    /** Checks that the versions differ. */
    public MoveIdentifier {
        if (from.equals(to)) {
            throw new IllegalArgumentException("a move needs two different versions");
        }
    }

    /**
     * Returns the move as one word, for keys and logs.
     *
     * @return the target, both versions and the due time
     */
    public String label() {
        return target + "/" + from + "/" + to + "/" + due;
    }
}
