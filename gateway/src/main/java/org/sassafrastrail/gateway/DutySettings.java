package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;

import org.sassafrastrail.duty.LeaseTimes;
import org.sassafrastrail.duty.UsageWindows;

/**
 * The settings of the platform's API and of the duties that one gateway at a time has there.
 *
 * @param address the address of the API, host and port; null if there is none
 * @param names the platform's names of the duties; null for none
 * @param leaseMilliseconds the time for which a lease of a duty is valid; null for the default
 * @param pauseMarginMilliseconds the margin for a pause of the process between a check of the lease and a call; null for the
 *     default
 * @param reportWindowSeconds the length of a window of usage reports; null for the default
 * @param usageLateSeconds the time after the end of a window at which its report is due; null for the default
 */
public record DutySettings(
        String address,
        List<String> names,
        Double leaseMilliseconds,
        Double pauseMarginMilliseconds,
        Double reportWindowSeconds,
        Double usageLateSeconds) {

    private static final double DEFAULT_LEASE_MILLISECONDS = 3000;
    private static final double DEFAULT_PAUSE_MARGIN_MILLISECONDS = 300;
    private static final double DEFAULT_REPORT_WINDOW_SECONDS = 5;
    private static final double DEFAULT_USAGE_LATE_SECONDS = 10;
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /**
     * Returns whether there are an API and duties.
     *
     * @return whether there is
     */
    boolean hasDuties() {
        return address != null && names != null && !names.isEmpty();
    }

    LeaseTimes leaseTimes() {
        return new LeaseTimes(
                milliseconds(orDefault(leaseMilliseconds, DEFAULT_LEASE_MILLISECONDS)),
                milliseconds(orDefault(pauseMarginMilliseconds, DEFAULT_PAUSE_MARGIN_MILLISECONDS)));
    }

    Duration usageLate() {
        return milliseconds(orDefault(usageLateSeconds, DEFAULT_USAGE_LATE_SECONDS) * MILLISECONDS_PER_SECOND);
    }

    UsageWindows usageWindows() {
        return UsageWindows.dueAfter(
                milliseconds(orDefault(reportWindowSeconds, DEFAULT_REPORT_WINDOW_SECONDS) * MILLISECONDS_PER_SECOND),
                usageLate());
    }

    private static Duration milliseconds(double milliseconds) {
        return Duration.ofMillis(Math.round(milliseconds));
    }

    private static double orDefault(Double value, double defaultValue) {
        return value == null ? defaultValue : value;
    }
}
