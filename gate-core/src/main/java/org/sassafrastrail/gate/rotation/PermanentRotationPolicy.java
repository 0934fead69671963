package org.sassafrastrail.gate.rotation;

import java.time.Instant;

/** Keeps a gateway in the rotation whatever its load, so that its readiness follows its lag alone. */
public final class PermanentRotationPolicy implements RotationPolicy {

    @Override
    public boolean shouldBeIn(Rotation rotation, Instant now) {
        return true;
    }
}
