package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;

import org.sassafrastrail.gate.GateLimits;

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
    private static final double MAX_WAIT_SHARE_OF_LATENCY_TARGET = 0.25;
    private static final double MIN_SHARE_OF_HEADROOM = 0.4;
    private static final int MAX_CALLS_EXAMINED = 8;
    private static final double MAX_QUEUEING_SHARE_OF_LATENCY_TARGET = 0.4;
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    /** Gateways count on their own, so each stays clear of its share of the fleet's bounds. */
    private static final double SAFETY_FACTOR = 0.7;

    private static final double DEFAULT_RETRY_SHARE = 0.1;
    private static final double DEFAULT_RETRY_EXTRA = 10;
    private static final double DEFAULT_COLD_FACTOR = 1;
    private static final double DEFAULT_COLD_EXTRA = 0;
    private static final double DEFAULT_GRACE_SECONDS = 8;
    private static final double DEFAULT_QUOTA_WINDOW_SECONDS = 4;
    private static final int FAILURES_BEFORE_EJECTION = 3;
    private static final Duration EJECTION_TIME = Duration.ofSeconds(2);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(4);
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3500);

    /** The part of the grace that is kept for ending the process. */
    private static final Duration EXIT_TIME = Duration.ofMillis(800);

    private static final int MILLISECONDS_PER_SECOND = 1000;

    /**
     * Works out the limits by which the gateway decides.
     *
     * @return the limits
     */
    public GateLimits limits() {
        return new GateLimits(
                READ_TOKENS_PER_MILLISECOND,
                MAX_WAIT_SHARE_OF_LATENCY_TARGET,
                MIN_SHARE_OF_HEADROOM,
                MAX_CALLS_EXAMINED,
                MAX_QUEUEING_SHARE_OF_LATENCY_TARGET,
                RETRY_AFTER,
                SAFETY_FACTOR * orDefault(repeatShare, DEFAULT_RETRY_SHARE),
                SAFETY_FACTOR * orDefault(repeatExtra, DEFAULT_RETRY_EXTRA),
                SAFETY_FACTOR * orDefault(coldFactor, DEFAULT_COLD_FACTOR),
                SAFETY_FACTOR * orDefault(coldExtra, DEFAULT_COLD_EXTRA),
                FAILURES_BEFORE_EJECTION,
                EJECTION_TIME,
                REPORT_INTERVAL,
                MIN_DRAIN_TIME,
                seconds(orDefault(graceSeconds, DEFAULT_GRACE_SECONDS)).minus(EXIT_TIME));
    }

    /**
     * Returns the time over which client accounts share capacity.
     *
     * @return the time
     */
    public Duration quotaWindow() {
        return seconds(orDefault(quotaWindowSeconds, DEFAULT_QUOTA_WINDOW_SECONDS));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLISECONDS_PER_SECOND));
    }

    private static double orDefault(Double value, double defaultValue) {
        return value == null ? defaultValue : value;
    }
}
