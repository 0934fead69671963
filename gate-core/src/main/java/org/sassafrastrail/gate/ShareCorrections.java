package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The corrections that lead each client account to its fair share. An account that is served more than it is owed may use less
 * of the upstreams' capacity for as long as that lasts, and one that is served less may use more: a proportional-integral
 * controller for each account. It needs no model of how gateways compete for capacity. Without excess, corrections fade.
 *
 * @param integrals the integral term of each account that has one, by account name; positive reduces its capacity
 * @param updatedAt when they were last updated
 */
record ShareCorrections(Map<String, Double> integrals, Instant updatedAt) {

    static final ShareCorrections NONE = new ShareCorrections(Map.of(), Instant.MAX);

    private static final double PROPORTIONAL_GAIN = 1;
    private static final double INTEGRAL_GAIN_PER_SECOND = 3;

    /** Lets a correction end that is no longer needed. It leaves a small excess that corrections do not remove. */
    private static final double FADING_PER_SECOND = 0.2;

    private static final double MIN_FACTOR = 0.1;

    /** Keeps the wait at an upstream, with that at the gateway, below the latency target. */
    private static final double MAX_FACTOR = 2;

    private static final double MAX_INTEGRAL = -Math.log(MIN_FACTOR);
    private static final double MIN_INTEGRAL = -Math.log(MAX_FACTOR);
    private static final double NEGLIGIBLE = 1e-3;
    private static final double NANOSECONDS_IN_SECOND = 1e9;

    /**
     * Integrates the excess of each account since the last update. Accounts that are not given lose their corrections.
     *
     * @param excess the natural logarithm of what each account is served as a multiple of what it is owed
     * @param now the time
     * @return the new corrections
     */
    ShareCorrections updated(Map<String, Double> excess, Instant now) {
        double seconds =
                updatedAt.isBefore(now) ? Duration.between(updatedAt, now).toNanos() / NANOSECONDS_IN_SECOND : 0;
        Map<String, Double> next = excess.entrySet().stream()
                .map(account -> Map.entry(account.getKey(), integrated(account.getKey(), account.getValue(), seconds)))
                .filter(account -> Math.abs(account.getValue()) > NEGLIGIBLE)
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
        return new ShareCorrections(next, now);
    }

    private double integrated(String account, double excess, double seconds) {
        double before = integral(account);
        double change = seconds * (INTEGRAL_GAIN_PER_SECOND * excess - FADING_PER_SECOND * before);
        return Math.max(MIN_INTEGRAL, Math.min(MAX_INTEGRAL, before + change));
    }

    private double integral(String account) {
        return integrals.getOrDefault(account, 0.0);
    }

    /**
     * Returns the factor by which the capacity that an account may use is corrected.
     *
     * @param account the account
     * @param excess the natural logarithm of what it is served as a multiple of what it is owed
     * @return the factor, above 1 for an account that is served less than it is owed
     */
    double factor(String account, double excess) {
        double factor = Math.exp(-PROPORTIONAL_GAIN * excess - integral(account));
        return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
    }
}
