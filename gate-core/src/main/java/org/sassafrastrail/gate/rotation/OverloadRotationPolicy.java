package org.sassafrastrail.gate.rotation;

import java.time.Duration;
import java.time.Instant;

/**
 * Takes a gateway out of the rotation that was overloaded for a tenth of the last second, and puts it back when it has
 * caught up and lost some of its connections. It leaves only while at least half of the gateways of its failure domain stay,
 * the most loaded first: the load balancer uses all of a domain's gateways when fewer are in rotation.
 */
public final class OverloadRotationPolicy implements RotationPolicy {

    private static final double OVERLOAD_SHARE_TO_LEAVE = 0.1;
    private static final double OVERLOAD_SHARE_TO_RETURN = 0.05;

    /** Load balancers check once a second and need two failed checks; one more second for their jitter. */
    private static final Duration MIN_TIME_OUT = Duration.ofSeconds(3);

    private static final Duration MAX_TIME_OUT = Duration.ofSeconds(8);
    private static final Duration MIN_TIME_IN = Duration.ofSeconds(2);

    /** A gateway that returns with more of its connections than this would be overloaded again. */
    private static final double CONNECTIONS_TO_RETURN = 0.75;

    @Override
    public boolean shouldBeIn(Rotation rotation, Instant now) {
        if (!rotation.hasAlternatives()) {
            return true;
        }
        return rotation.inRotation() ? !shouldLeave(rotation, now) : shouldReturn(rotation, now);
    }

    private static boolean shouldLeave(Rotation rotation, Instant now) {
        return rotation.overload().value() >= OVERLOAD_SHARE_TO_LEAVE
                && !now.isBefore(rotation.changedAt().plus(MIN_TIME_IN))
                && rotation.outOfRotation(now) + rotation.rankedBefore(true, now) < rotation.mayBeOut();
    }

    private static boolean shouldReturn(Rotation rotation, Instant now) {
        if (tooManyOut(rotation, now)) {
            return true;
        }
        Duration out = Duration.between(rotation.changedAt(), now);
        boolean caughtUp = rotation.overload().value() <= OVERLOAD_SHARE_TO_RETURN
                && rotation.load().connections() <= rotation.connectionsAtChange() * CONNECTIONS_TO_RETURN;
        return out.compareTo(MAX_TIME_OUT) >= 0 || out.compareTo(MIN_TIME_OUT) >= 0 && caughtUp;
    }

    /** After gateways have left at the same moment, those that rank last return. */
    private static boolean tooManyOut(Rotation rotation, Instant now) {
        return rotation.rankedBefore(false, now) >= rotation.mayBeOut();
    }
}
