package org.sassafrastrail.rollout;

import java.util.List;

import org.sassafrastrail.messages.MoveProgress;

/** Judges from evidence whether a new version is bad. */
@FunctionalInterface
public interface RegressionDetector {

    /**
     * Judges a version.
     *
     * @param candidate the evidence on the new version, by route
     * @param baseline the evidence on the old version, by route
     * @return the fault, or {@link MoveProgress.Reason#NONE}
     */
    MoveProgress.Reason detect(List<RouteEvidence> candidate, List<RouteEvidence> baseline);
}
