package org.sassafrastrail.duty;

import java.time.Duration;
import java.util.Collection;

/** The order in which gateways try for a lease that is free. It follows from a hash, so that they need no messages for it. */
public final class TakeoverOrder {

    /** One conditional write takes less, so that the first gateway usually is the only one to try. */
    private static final Duration STEP = Duration.ofMillis(100);

    private static final int ORDERED_GATEWAYS = 10;

    /** The time over which the gateways after the first ten are spread. */
    private static final long SPREAD_MILLISECONDS = 1000;

    private TakeoverOrder() {}

    /**
     * Returns how long a gateway waits before it tries for a free lease.
     *
     * @param duty the name of the duty
     * @param gateway the gateway
     * @param live the gateways that are known to run
     * @return the delay, at most two seconds
     */
    public static Duration delay(String duty, String gateway, Collection<String> live) {
        long own = hash(duty, gateway);
        long rank = live.stream()
                .filter(other -> !other.equals(gateway))
                .map(other -> hash(duty, other))
                .filter(other -> other < own)
                .count();
        return rank < ORDERED_GATEWAYS
                ? STEP.multipliedBy(rank)
                : STEP.multipliedBy(ORDERED_GATEWAYS).plusMillis(Math.floorMod(own, SPREAD_MILLISECONDS));
    }

    /** Mixes the bits of the string's hash, which differs little between similar names. */
    private static long hash(String duty, String gateway) {
        long mixed = (duty + "/" + gateway).hashCode() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xBF58476D1CE4E5B9L;
        return mixed ^ (mixed >>> 29);
    }
}
