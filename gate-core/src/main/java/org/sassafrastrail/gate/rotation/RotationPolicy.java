package org.sassafrastrail.gate.rotation;

import java.time.Instant;

/** Decides whether a gateway should be in the rotation. */
public interface RotationPolicy {

    /**
     * Decides for the present state.
     *
     * @param rotation the state
     * @param now the time
     * @return whether the gateway should be in the rotation from now on
     */
    boolean shouldBeIn(Rotation rotation, Instant now);
}
