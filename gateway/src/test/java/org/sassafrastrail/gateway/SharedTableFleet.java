package org.sassafrastrail.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.sassafrastrail.durable.ChangeFeed;
import org.sassafrastrail.durable.ChangeFeedResult;
import org.sassafrastrail.durable.SharedTable;
import org.sassafrastrail.durable.StoreAvailabilityListener;
import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableChanges;
import org.sassafrastrail.durable.TableRow;
import org.sassafrastrail.durable.WatchedTable;
import org.sassafrastrail.gate.TableWatchers;

/** Gateways in three failure domains that share one table of a store, in virtual time. A poll waits until the row changes. */
final class SharedTableFleet {

    private static final int DOMAINS = 3;
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(1_200);
    private static final Duration MAXIMUM_AGE = Duration.ofMillis(1_700);

    private final List<Gateway> gateways = new ArrayList<>();
    private final Set<Integer> killed = new HashSet<>();
    private final Set<Integer> paused = new HashSet<>();
    private final Set<Integer> cutFromStore = new HashSet<>();
    private final Set<Integer> cutToPeers = new HashSet<>();
    private final Set<Integer> losing = new HashSet<>();
    private final ManualClock clock = new ManualClock();
    private StoreVersion version = new StoreVersion(0, 1);
    private long calls;

    SharedTableFleet(int count) {
        IntStream.range(0, count).forEach(number -> gateways.add(new Gateway(number)));
    }

    /** One gateway. A poll that it makes takes until the table changes, or until the maximum wait is over. */
    private final class Gateway implements ChangeFeed {

        private final int number;
        private final WatchedTable copy;
        private final SharedTable table;
        private Instant pollsAgainAt = Instant.EPOCH;
        private boolean called;

        Gateway(int number) {
            this.number = number;
            this.copy = new WatchedTable(this, MAXIMUM_WAIT, rows -> {}, known -> {}, new Silent());
            this.table = new SharedTable(
                    copy,
                    MAXIMUM_WAIT,
                    MAXIMUM_AGE,
                    this::isWatcher,
                    changes -> publish(number, changes),
                    "gateway-" + number,
                    clock);
        }

        private boolean isWatcher() {
            Set<String> others = IntStream.range(0, gateways.size())
                    .filter(other -> other != number && other % DOMAINS == number % DOMAINS)
                    .mapToObj(other -> "gateway-" + other)
                    .collect(Collectors.toSet());
            return new TableWatchers("gateway-" + number, others).includeThisGateway();
        }

        void tick() {
            boolean changed = called && copy.snapshot().version().isBefore(version) && !cutFromStore.contains(number);
            if (changed || !clock.instant().isBefore(pollsAgainAt)) {
                called = false;
                table.poll();
                pollsAgainAt = clock.instant().plus(called ? MAXIMUM_WAIT : TICK);
            }
        }

        @Override
        public ChangeFeedResult readAll() {
            return changesSince(WatchedTable.NOT_LOADED, Duration.ZERO);
        }

        @Override
        public ChangeFeedResult changesSince(StoreVersion known, Duration maximumWait) {
            calls++;
            called = true;
            return cutFromStore.contains(number)
                    ? new ChangeFeedResult.Unavailable("cut off")
                    : new ChangeFeedResult.Rows(known.isBefore(version) ? rows() : List.of(), version);
        }
    }

    /** A listener that ignores what it hears. */
    private static final class Silent implements StoreAvailabilityListener {

        @Override
        public void storeUnavailable(StoreVersion known, String reason) {}

        @Override
        public void storeAvailable(StoreVersion known) {}

        @Override
        public void storeRestored(StoreVersion before, StoreVersion known) {}
    }

    private List<TableRow> rows() {
        byte[] value = version.toString().getBytes(StandardCharsets.US_ASCII);
        return List.of(new TableRow("row", version, Optional.of(value)));
    }

    private void publish(int from, TableChanges changes) {
        if (!cutToPeers.contains(from)) {
            gateways.stream()
                    .filter(to -> to.number != from && to.number % DOMAINS == from % DOMAINS)
                    .filter(to -> isRunning(to.number) && !losing.contains(to.number))
                    .forEach(to -> to.table.follow(changes));
        }
    }

    private boolean isRunning(int gateway) {
        return !killed.contains(gateway) && !paused.contains(gateway);
    }

    void run(Duration time) {
        Instant until = clock.instant().plus(time);
        while (clock.instant().isBefore(until)) {
            gateways.stream().filter(gateway -> isRunning(gateway.number)).forEach(Gateway::tick);
            clock.advance(TICK);
        }
    }

    /** Changes the table and returns the time until all of some gateways know it. */
    Duration timeUntilKnown(IntPredicate ofGateways) {
        version = new StoreVersion(version.era(), version.number() + 1);
        Instant changedAt = clock.instant();
        while (!isKnown(ofGateways) && clock.instant().isBefore(changedAt.plusSeconds(30))) {
            run(TICK);
        }
        return Duration.between(changedAt, clock.instant());
    }

    /** Restores the store from a copy with lower versions, and returns the time until all of some gateways know it. */
    Duration timeUntilRestoreIsKnown(IntPredicate ofGateways) {
        version = new StoreVersion(version.era() + 1, 0);
        return timeUntilKnown(ofGateways);
    }

    private boolean isKnown(IntPredicate ofGateways) {
        return gateways.stream()
                .filter(gateway -> ofGateways.test(gateway.number))
                .allMatch(gateway -> gateway.copy.snapshot().version().equals(version));
    }

    List<Integer> watchers() {
        return gateways.stream()
                .filter(Gateway::isWatcher)
                .map(gateway -> gateway.number)
                .toList();
    }

    void kill(int gateway) {
        killed.add(gateway);
    }

    void pause(int gateway) {
        paused.add(gateway);
    }

    /** Lets a gateway go on with the response that arrived before its pause. */
    void resumeWithOldResponse(int gateway) {
        paused.remove(gateway);
        StoreVersion known = gateways.get(gateway).copy.snapshot().version();
        publish(gateway, new TableChanges(known, known, List.of()));
    }

    void cutFromStore(int gateway) {
        cutFromStore.add(gateway);
    }

    /** Loses what a gateway tells its peers. */
    void cutToPeers(int gateway) {
        cutToPeers.add(gateway);
    }

    /** Loses what a gateway is told. */
    void loseUpdatesTo(int gateway) {
        losing.add(gateway);
    }

    long calls() {
        return calls;
    }
}
