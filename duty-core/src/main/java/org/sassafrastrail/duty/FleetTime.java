package org.sassafrastrail.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The estimate of true time, which the gateways agree on by their wall clocks: the monotonic clock of this gateway, and the
 * median offset of the wall clocks from it. A wall clock that steps is one of many. Of two clocks that disagree, neither is
 * known to be right, so the estimate stays where it is between them.
 *
 * @param clocks the wall clocks, by gateway
 * @param offsetMilliseconds the estimated offset of true time from the monotonic clock
 */
public record FleetTime(PMap<String, WallClock> clocks, long offsetMilliseconds) {

    /** Gateways tell their wall clocks each second; one that is silent for longer may have stopped. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    /** The estimate before any clock was read. */
    public static final FleetTime START = new FleetTime(HashTreePMap.empty(), 0);

    /**
     * The wall clock of a gateway.
     *
     * @param offsetMilliseconds its offset from the monotonic clock of this gateway
     * @param heardAt when it was read
     */
    public record WallClock(long offsetMilliseconds, Instant heardAt) {}

    /**
     * Records the wall clock of a gateway, which may be this one.
     *
     * @param gateway the gateway
     * @param wallMilliseconds its wall clock, in milliseconds since the epoch
     * @param now the time of the monotonic clock of this gateway
     * @return the new estimate
     */
    public FleetTime heard(String gateway, long wallMilliseconds, Instant now) {
        List<String> silent = clocks.entrySet().stream()
                .filter(clock -> clock.getValue().heardAt().plus(RETENTION).isBefore(now))
                .map(Map.Entry::getKey)
                .toList();
        PMap<String, WallClock> heard =
                clocks.minusAll(silent).plus(gateway, new WallClock(wallMilliseconds - now.toEpochMilli(), now));
        return new FleetTime(heard, median(heard));
    }

    private long median(PMap<String, WallClock> heard) {
        List<Long> sorted = heard.values().stream()
                .map(WallClock::offsetMilliseconds)
                .sorted()
                .toList();
        long lower = sorted.get((sorted.size() - 1) / 2);
        long upper = sorted.get(sorted.size() / 2);
        return clocks.isEmpty() ? lower : Math.max(lower, Math.min(offsetMilliseconds, upper));
    }

    /**
     * Returns the estimate of true time.
     *
     * @param now the time of the monotonic clock
     * @return the estimate
     */
    public Instant at(Instant now) {
        return now.plusMillis(offsetMilliseconds);
    }
}
