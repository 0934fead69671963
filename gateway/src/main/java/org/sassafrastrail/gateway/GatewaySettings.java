package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;

import org.sassafrastrail.gate.GatewayLimits;

/**
 * The settings of a gateway.
 *
 * @param node its name
 * @param callers where it listens for callers, host and port
 * @param readiness where it answers whether it is ready, host and port
 * @param links where it listens for other gateways, host and port
 * @param seeds where other gateways may be found before the store answers
 * @param store where the platform's store is, host and port
 * @param repeatShare how many repeats a target may get, as a share of its requests; null for the default
 * @param repeatExtra how many repeats a target may get beyond that; null for the default
 * @param coldFactor how far a cold upstream's rate may be exceeded in a second; null for the default
 * @param coldExtra how many requests more a cold upstream may get in a second; null for the default
 * @param graceSeconds after how many seconds a stopping process is killed; null for the default
 * @param quotaWindowSeconds over how many seconds client accounts share capacity; null for the default
 * @param logLevel the level of the log
 */
public record GatewaySettings(
        String node,
        String callers,
        String readiness,
        String links,
        List<String> seeds,
        String store,
        Double repeatShare,
        Double repeatExtra,
        Double coldFactor,
        Double coldExtra,
        Double graceSeconds,
        Double quotaWindowSeconds,
        String logLevel) {

    private static final double READ_TOKENS_PER_MILLISECOND = 80;
    private static final double MOST_WAIT_SHARE_OF_AIM = 0.25;
    private static final double LEAST_SHARE_OF_ROOM = 0.4;
    private static final int TURNS_LOOKED_AT = 8;
    private static final double MOST_HELD_SHARE_OF_AIM = 0.4;
    private static final Duration COME_BACK_AFTER = Duration.ofMillis(300);

    /** Gateways count on their own, so each stays clear of its share of the fleet's bounds. */
    private static final double MARGIN = 0.7;

    private static final double DEFAULT_REPEAT_SHARE = 0.1;
    private static final double DEFAULT_REPEAT_EXTRA = 10;
    private static final double DEFAULT_COLD_FACTOR = 1;
    private static final double DEFAULT_COLD_EXTRA = 0;
    private static final double DEFAULT_GRACE_SECONDS = 8;
    private static final double DEFAULT_QUOTA_WINDOW_SECONDS = 4;
    private static final int EJECT_AFTER = 3;
    private static final Duration EJECT_FOR = Duration.ofSeconds(2);
    private static final Duration REPORT_SPACING = Duration.ofMillis(4);
    private static final Duration DRAIN_AT_LEAST = Duration.ofMillis(3500);

    /** The part of the grace that is kept for ending the process. */
    private static final Duration ENDING = Duration.ofMillis(800);

    private static final int MILLISECONDS = 1000;

    /**
     * Works out the limits by which the gateway decides.
     *
     * @return the limits
     */
    public GatewayLimits limits() {
        return new GatewayLimits(
                READ_TOKENS_PER_MILLISECOND,
                MOST_WAIT_SHARE_OF_AIM,
                LEAST_SHARE_OF_ROOM,
                TURNS_LOOKED_AT,
                MOST_HELD_SHARE_OF_AIM,
                COME_BACK_AFTER,
                MARGIN * or(repeatShare, DEFAULT_REPEAT_SHARE),
                MARGIN * or(repeatExtra, DEFAULT_REPEAT_EXTRA),
                MARGIN * or(coldFactor, DEFAULT_COLD_FACTOR),
                MARGIN * or(coldExtra, DEFAULT_COLD_EXTRA),
                EJECT_AFTER,
                EJECT_FOR,
                REPORT_SPACING,
                DRAIN_AT_LEAST,
                seconds(or(graceSeconds, DEFAULT_GRACE_SECONDS)).minus(ENDING));
    }

    /**
     * Returns the time over which client accounts share capacity.
     *
     * @return the time
     */
    public Duration quotaWindow() {
        return seconds(or(quotaWindowSeconds, DEFAULT_QUOTA_WINDOW_SECONDS));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLISECONDS));
    }

    private static double or(Double value, double otherwise) {
        return value == null ? otherwise : value;
    }
}
