package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.duty.FleetTime;
import org.sassafrastrail.duty.UsageCounts;
import org.sassafrastrail.duty.UsageReport;
import org.sassafrastrail.duty.UsageWindows;
import org.sassafrastrail.messages.AccountCount;
import org.sassafrastrail.messages.UsageUpdate;
import org.sassafrastrail.messages.WindowUsage;
import org.sassafrastrail.model.AccountName;

/** The requests that began to run, by window: those of this gateway, and what the others tell of theirs. */
final class UsageCollector {

    /** The windows whose counts are sent again, for peers that missed a message or have just started. */
    private static final int REPEATED_WINDOWS = 8;

    private static final int KEPT_WINDOWS = 6;

    private final DutyHolder self;
    private final UsageWindows windows;
    private final Clock clock;
    private final Clock wallClock;
    private final TreeMap<Long, Map<String, Long>> own = new TreeMap<>();
    private final Set<Long> changed = new HashSet<>();
    private UsageCounts peers = UsageCounts.NONE;
    private FleetTime time = FleetTime.START;
    private long forgottenThrough;

    UsageCollector(DutyHolder self, UsageWindows windows, Clock clock, Clock wallClock) {
        this.self = self;
        this.windows = windows;
        this.clock = clock;
        this.wallClock = wallClock;
        readWallClock();
    }

    private void readWallClock() {
        time = time.heard(self.gateway(), wallClock.millis(), clock.instant());
    }

    /** Counts a request that begins to run now. */
    synchronized void add(AccountName account) {
        long window = windows.at(time.at(clock.instant()));
        own.computeIfAbsent(window, key -> new HashMap<>()).merge(account.value(), 1L, Long::sum);
        changed.add(window);
    }

    synchronized void heard(DutyHolder peer, UsageUpdate update) {
        time = time.heard(peer.gateway(), update.wallMilliseconds(), clock.instant());
        for (WindowUsage usage : update.windows()) {
            if (usage.window() > forgottenThrough) {
                peers = peers.with(
                        usage.window(),
                        peer,
                        usage.counts().stream()
                                .collect(Collectors.toMap(AccountCount::account, AccountCount::requests, Math::max)));
            }
        }
    }

    /** Returns what to tell the peers: the windows that changed since the last call, or the last ones all. */
    synchronized UsageUpdate takeUpdate(boolean all) {
        readWallClock();
        while (own.size() > UsageCounts.MAX_WINDOWS) {
            own.pollFirstEntry();
        }
        Stream<Long> told = all
                ? own.descendingKeySet().stream().limit(REPEATED_WINDOWS)
                : changed.stream().filter(own::containsKey);
        UsageUpdate update = new UsageUpdate(
                wallClock.millis(),
                told.map(window -> new WindowUsage(window, counts(own.get(window))))
                        .toList());
        changed.clear();
        return update;
    }

    private static List<AccountCount> counts(Map<String, Long> counts) {
        return counts.entrySet().stream()
                .map(count -> new AccountCount(count.getKey(), count.getValue()))
                .toList();
    }

    synchronized UsageReport report(long window) {
        return peers.with(window, self, own.getOrDefault(window, Map.of())).report(window);
    }

    /**
     * Drops the counts of windows whose reports are agreed on. The last ones are kept for a store that comes back from an older
     * copy, without the report.
     */
    synchronized void forgetThrough(long agreed) {
        long window = agreed - KEPT_WINDOWS;
        if (window > forgottenThrough) {
            forgottenThrough = window;
            peers = peers.withoutThrough(window);
            own.headMap(window, true).clear();
        }
    }

    /** Returns the first window with counts that no report was agreed on for, the current one if there are none. */
    synchronized long firstWindow() {
        long current = windows.at(time.at(clock.instant()));
        return Stream.of(own.navigableKeySet(), peers.windows().keySet())
                .flatMap(Set::stream)
                .reduce(current, Math::min);
    }

    synchronized long lastCollected() {
        return windows.lastCollected(time.at(clock.instant()));
    }

    synchronized Duration sinceEnd(long window) {
        return windows.sinceEnd(window, time.at(clock.instant()));
    }

    synchronized long clockOffsetMilliseconds() {
        return time.offsetMilliseconds();
    }
}
