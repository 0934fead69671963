package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.sassafrastrail.gate.DrainSchedule;
import org.sassafrastrail.gate.GatewayLimits;
import org.sassafrastrail.model.FailureDomainName;

/**
 * The settings of a gateway.
 *
 * @param node the name of the gateway
 * @param failureDomain the failure domain of the gateway; null if it is not known
 * @param callers the address to listen on for callers, host and port
 * @param readiness the address to listen on for readiness checks and metrics, host and port
 * @param links the address to listen on for other gateways, host and port
 * @param seeds the link addresses of gateways to connect to at the start, before the store responds
 * @param store the address of the platform's store, host and port
 * @param repeatShare the maximum number of retries for a target, as a share of its requests; null for the default
 * @param repeatExtra the number of retries allowed for a target in addition; null for the default
 * @param coldFactor the factor on the rate of a cold upstream that limits its requests per second; null for the default
 * @param coldExtra the number of requests per second allowed for a cold upstream in addition; null for the default
 * @param newVersionShare the maximum share of requests for a new version while a move to it goes on; null for the default
 * @param newVersionExtra the number of requests allowed for a new version in addition; null for the default
 * @param graceSeconds the seconds after which a stopping process is killed; null for the default
 * @param quotaWindowSeconds the seconds over which client accounts share capacity; null for the default
 * @param duties the API of the platform and the duties that gateways have there; null if there is none
 * @param logLevel the minimum level of logged events
 */
public record GatewaySettings(
        String node,
        String failureDomain,
        String callers,
        String readiness,
        String links,
        List<String> seeds,
        String store,
        Double repeatShare,
        Double repeatExtra,
        Double coldFactor,
        Double coldExtra,
        Double newVersionShare,
        Double newVersionExtra,
        Double graceSeconds,
        Double quotaWindowSeconds,
        DutySettings duties,
        String logLevel) {

    private static final double PREFILL_TOKENS_PER_MILLISECOND = 80;
    private static final double MAX_PREFILL_WAIT_SHARE = 0.25;
    private static final double MIN_CAPACITY_SHARE = 0.4;
    private static final int SCHEDULING_LOOKAHEAD = 8;
    private static final double MAX_QUEUEING_SHARE = 0.4;
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);

    /** Gateways count independently of each other, so each stays below its share of the limits of the fleet. */
    private static final double SAFETY_FACTOR = 0.7;

    private static final double DEFAULT_RETRY_SHARE = 0.1;
    private static final double DEFAULT_RETRY_EXTRA = 10;
    private static final double DEFAULT_COLD_FACTOR = 1;
    private static final double DEFAULT_COLD_EXTRA = 0;
    private static final double DEFAULT_NEW_VERSION_SHARE = 0.1;
    private static final double DEFAULT_NEW_VERSION_EXTRA = 0;
    private static final double DEFAULT_GRACE_SECONDS = 8;
    private static final double DEFAULT_QUOTA_WINDOW_SECONDS = 4;
    private static final int EJECTION_THRESHOLD = 3;
    private static final Duration EJECTION_DURATION = Duration.ofSeconds(2);
    private static final int MIN_CRASHES_OF_CAUSE = 2;
    private static final Duration CRASH_RETENTION = Duration.ofMinutes(10);
    private static final Duration REPORT_SPACING = Duration.ofMillis(4);

    /**
     * The platform checks readiness every second and needs two failed checks; one more second lets connections arrive that
     * callers are opening.
     */
    private static final Duration MAX_ADMISSION_WHILE_STOPPING = Duration.ofMillis(2700);

    /** The part of the drain time for new requests; the rest is for responses to them. */
    private static final double MAX_ADMISSION_SHARE = 0.4;

    private static final Duration MIN_DRAIN_AFTER_ADMISSION = Duration.ofMillis(800);

    /** The time to write the last responses before the process exits. */
    private static final Duration WRITE_TIME = Duration.ofMillis(200);

    /** The part of the grace time that is reserved for the exit of the process. */
    private static final Duration EXIT_TIME = Duration.ofMillis(800);

    private static final int MILLISECONDS_PER_SECOND = 1000;

    /**
     * Derives the limits that the decisions of the gateway keep to.
     *
     * @return the limits
     */
    public GatewayLimits limits() {
        return new GatewayLimits(
                PREFILL_TOKENS_PER_MILLISECOND,
                MAX_PREFILL_WAIT_SHARE,
                MIN_CAPACITY_SHARE,
                SCHEDULING_LOOKAHEAD,
                MAX_QUEUEING_SHARE,
                RETRY_AFTER,
                SAFETY_FACTOR * orDefault(repeatShare, DEFAULT_RETRY_SHARE),
                SAFETY_FACTOR * orDefault(repeatExtra, DEFAULT_RETRY_EXTRA),
                SAFETY_FACTOR * orDefault(coldFactor, DEFAULT_COLD_FACTOR),
                SAFETY_FACTOR * orDefault(coldExtra, DEFAULT_COLD_EXTRA),
                SAFETY_FACTOR * orDefault(newVersionShare, DEFAULT_NEW_VERSION_SHARE),
                SAFETY_FACTOR * orDefault(newVersionExtra, DEFAULT_NEW_VERSION_EXTRA),
                EJECTION_THRESHOLD,
                EJECTION_DURATION,
                MIN_CRASHES_OF_CAUSE,
                CRASH_RETENTION,
                REPORT_SPACING,
                drain());
    }

    /**
     * Returns the failure domain of the gateway.
     *
     * @return the failure domain, empty if it is not known
     */
    public Optional<FailureDomainName> domain() {
        return Optional.ofNullable(failureDomain).map(FailureDomainName::new);
    }

    /**
     * Returns the API of the platform, if this gateway has duties there.
     *
     * @return the settings, empty without an API or without duties
     */
    public Optional<DutySettings> configuredDuties() {
        return Optional.ofNullable(duties).filter(DutySettings::hasDuties);
    }

    private DrainSchedule drain() {
        Duration maximum =
                seconds(orDefault(graceSeconds, DEFAULT_GRACE_SECONDS)).minus(EXIT_TIME);
        Duration admission = Duration.ofMillis(Math.min(
                MAX_ADMISSION_WHILE_STOPPING.toMillis(), Math.round(maximum.toMillis() * MAX_ADMISSION_SHARE)));
        return new DrainSchedule(
                admission, admission.plus(MIN_DRAIN_AFTER_ADMISSION), maximum.minus(WRITE_TIME), maximum);
    }

    /**
     * Returns the window over which client accounts share capacity.
     *
     * @return the window
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
