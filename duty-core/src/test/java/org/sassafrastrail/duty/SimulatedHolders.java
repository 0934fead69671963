package org.sassafrastrail.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/** Gateways that compete for a lease in virtual time, with a store and links that fail on demand. */
final class SimulatedHolders {

    static final LeaseTimes TIMES = new LeaseTimes(Duration.ofMillis(3000), Duration.ofMillis(300));

    private static final Duration STEP = Duration.ofMillis(50);

    final List<String> names;
    final List<Call> calls = new ArrayList<>();
    final Set<Integer> paused = new HashSet<>();
    final Set<Integer> cutFromStore = new HashSet<>();
    final Set<Integer> cutFromPeers = new HashSet<>();
    int writeWithoutAnswerBy = -1;
    int storeCalls;
    long era;
    private final List<Duration> delays;
    private final List<Lease> leases = new ArrayList<>();
    private final long[] seenEras;
    private final long[] followedEras;
    private Optional<LeaseRow> row = Optional.empty();
    private long version;
    private Optional<Runnable> lateWrite = Optional.empty();
    private Instant now = Instant.ofEpochSecond(1_800_000_000);

    /** A call of a holder, which it makes at each step while its lease is valid. */
    record Call(Instant at, int gateway, long token) {}

    SimulatedHolders(int gateways) {
        names = IntStream.range(0, gateways).mapToObj(number -> "g" + number).toList();
        seenEras = new long[gateways];
        followedEras = new long[gateways];
        delays = names.stream()
                .map(name -> TakeoverOrder.delay("account-usage", name, names))
                .toList();
        names.forEach(name -> leases.add(Lease.unknown(new DutyHolder(name, 1), TIMES, now)));
    }

    void run(Duration duration) {
        for (Instant end = now.plus(duration); now.isBefore(end); now = now.plus(STEP)) {
            IntStream.range(0, names.size())
                    .filter(gateway -> !paused.contains(gateway))
                    .forEach(this::step);
        }
    }

    int holder() {
        return calls.get(calls.size() - 1).gateway();
    }

    /** Performs the write that got no answer, if the row still has the version that it expects. */
    void performLateWrite() {
        lateWrite.orElseThrow().run();
    }

    void giveUp(int gateway) {
        Lease held = leases.get(gateway);
        leases.set(gateway, write(gateway, held, held.release(0).orElseThrow()));
    }

    /** Returns to a copy of the store, under a new era. */
    void restore(Optional<LeaseRow> copiedRow, long copiedVersion) {
        row = copiedRow;
        version = copiedVersion;
        era++;
    }

    Optional<LeaseRow> row() {
        return row;
    }

    long version() {
        return version;
    }

    private void step(int gateway) {
        Lease lease = followEra(gateway, leases.get(gateway));
        LeaseStep next = lease.next(now, 0, delays.get(gateway), followedEras[gateway]);
        if (next instanceof LeaseStep.Read) {
            storeCalls++;
            seeEra(gateway);
            lease = cutFromStore.contains(gateway)
                    ? lease.unreadable(now)
                    : lease.read(row, row.isEmpty() ? 0 : version, now);
        } else if (next instanceof LeaseStep.Write write) {
            storeCalls++;
            seeEra(gateway);
            lease = write(gateway, lease, write);
        }
        leases.set(gateway, lease);
        if (lease.isValid(now)) {
            calls.add(new Call(now, gateway, lease.token().number()));
        }
    }

    private void seeEra(int gateway) {
        seenEras[gateway] = cutFromStore.contains(gateway) ? seenEras[gateway] : era;
    }

    private Lease followEra(int gateway, Lease lease) {
        if (followedEras[gateway] == seenEras[gateway]) {
            return lease;
        }
        followedEras[gateway] = seenEras[gateway];
        return lease.restored(seenEras[gateway], now);
    }

    private Lease write(int gateway, Lease lease, LeaseStep.Write write) {
        if (cutFromStore.contains(gateway)) {
            return lease.unanswered(write.row(), now, now);
        }
        if (gateway == writeWithoutAnswerBy) {
            lateWrite = Optional.of(() -> perform(write));
            cutFromStore.add(gateway);
            return lease.unanswered(write.row(), now, now);
        }
        if (!perform(write)) {
            return lease.conflicted(now);
        }
        if (!cutFromPeers.contains(gateway)) {
            IntStream.range(0, names.size())
                    .filter(other -> other != gateway && !paused.contains(other) && !cutFromPeers.contains(other))
                    .forEach(other -> leases.set(other, leases.get(other).heard(write.row(), version, now)));
        }
        return lease.written(write.row(), version, now);
    }

    private boolean perform(LeaseStep.Write write) {
        if (write.expectedVersion() != (row.isEmpty() ? 0 : version)) {
            return false;
        }
        row = Optional.of(write.row());
        version++;
        return true;
    }
}
