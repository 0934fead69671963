package org.sassafrastrail.rollout;

import java.util.List;

import org.sassafrastrail.messages.MoveProgress;

/** Detects from evidence whether a new version is worse than the old version. */
@FunctionalInterface
public interface RegressionDetector {

    /**
     * Compares the new version with the old version.
     *
     * @param candidate the evidence on the new version, by route
     * @param baseline the evidence on the old version, by route
     * @return the reason to roll the move back, or {@link MoveProgress.Reason#NONE}
     */
    MoveProgress.Reason detect(List<RouteEvidence> candidate, List<RouteEvidence> baseline);
}
