package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import org.sassafrastrail.durable.TableWriteResult;
import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.duty.FencingToken;
import org.sassafrastrail.duty.Lease;
import org.sassafrastrail.duty.LeaseRow;
import org.sassafrastrail.duty.LeaseStep;
import org.sassafrastrail.duty.TakeoverOrder;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;

/** Takes and renews the lease of a duty in the store, and tells the other gateways. Its steps run on one thread. */
final class LeaseKeeper {

    private final String duty;
    private final DutyHolder self;
    private final DutyPlatform platform;
    private final DutyPeers peers;
    private final Clock clock;
    private final EventLog log;
    private final AtomicReference<Lease> lease;
    private volatile LongSupplier progress = () -> 0;
    private volatile LongSupplier agreed = () -> 0;
    private final Object callLock = new Object();
    private volatile boolean releaseWanted;
    private long era;

    LeaseKeeper(String duty, DutyContext context) {
        this.duty = duty;
        this.self = context.self();
        this.platform = context.platform();
        this.peers = context.peers();
        this.clock = context.clock();
        this.log = context.log();
        this.lease =
                new AtomicReference<>(Lease.unknown(self, context.settings().leaseTimes(), clock.instant()));
        Metrics metrics = context.metrics();
        metrics.gauge("duty." + duty + ".held", () -> isValid() ? 1 : 0);
        metrics.gauge("duty." + duty + ".token", () -> lease.get().token().number());
    }

    /** Sets how far the duty is done and agreed on, which the lease tells the next holder. */
    void report(LongSupplier progressSoFar, LongSupplier agreedSoFar) {
        progress = progressSoFar;
        agreed = agreedSoFar;
    }

    boolean isValid() {
        return !releaseWanted && lease.get().isValid(clock.instant());
    }

    /**
     * Makes a call as the holder if this gateway holds the lease for some time to come. The lease is not given up during a call.
     *
     * @param minimum the time for which it has to hold the lease
     * @param call makes the call with the token of the lease
     * @return the result of the call, empty if it was not made
     */
    <T> Optional<T> callAsHolder(Duration minimum, Function<FencingToken, T> call) {
        synchronized (callLock) {
            Lease state = lease.get();
            return releaseWanted || state.timeLeft(clock.instant()).compareTo(minimum) < 0
                    ? Optional.empty()
                    : Optional.of(call.apply(state.token()));
        }
    }

    /** Tells the other gateways how far the duty is done, without waiting for the next renewal. */
    void announceProgress() {
        Lease state = lease.get();
        state.row()
                .filter(row -> state.isValid(clock.instant()))
                .ifPresent(row -> announce(row.withProgress(progress.getAsLong()), state.version()));
    }

    /** Returns how far the duty is done according to the row of the lease. */
    long recordedProgress() {
        return lease.get().row().map(LeaseRow::progress).orElse(0L);
    }

    /** Gives up the lease with the next step, for a while, unless there is no other gateway. */
    void releaseIfOthersCanTry() {
        releaseWanted = !peers.linkedPeers().isEmpty();
    }

    void heard(DutyHolder peer, DutyUpdate update) {
        LeaseRow row = new LeaseRow(
                peer, new FencingToken(update.token()), update.renewal(), update.progress(), update.released());
        change(state -> state.heard(row, update.version(), clock.instant()));
    }

    /** Performs the next step, if one is due. */
    void poll() {
        followEra();
        LeaseStep step = nextStep();
        if (step instanceof LeaseStep.Read) {
            Optional<DutyPlatform.StoredLease> stored = platform.readLease(duty);
            Instant now = clock.instant();
            change(state -> stored.map(read -> state.read(read.row(), read.version(), now))
                    .orElseGet(() -> state.unreadable(now)));
        } else if (step instanceof LeaseStep.Write write) {
            write(write);
        }
    }

    private void followEra() {
        long current = platform.era();
        if (current > era) {
            era = current;
            change(state -> state.restored(current, clock.instant()));
        }
    }

    private LeaseStep nextStep() {
        Lease state = lease.get();
        if (releaseWanted) {
            Optional<LeaseStep.Write> release = state.release(progress.getAsLong());
            if (release.isPresent()) {
                return release.get();
            }
            releaseWanted = false;
        }
        return state.next(clock.instant(), progress.getAsLong(), takeoverDelay(), era);
    }

    private Duration takeoverDelay() {
        Set<String> live = new HashSet<>(peers.linkedPeers());
        live.add(self.gateway());
        return TakeoverOrder.delay(duty, self.gateway(), live);
    }

    /** A holder that gives up the lease must not act while the write is under way, so it counts as unanswered until then. */
    private void write(LeaseStep.Write write) {
        Instant sentAt = clock.instant();
        if (write.row().released()) {
            awaitEndOfCall();
            change(state -> state.unanswered(write.row(), sentAt, sentAt));
        }
        TableWriteResult result = platform.writeLease(duty, write.row(), write.expectedVersion());
        if (result instanceof TableWriteResult.Written written
                && written.version().era() > era) {
            followEra();
        } else if (result instanceof TableWriteResult.Written written) {
            change(state -> state.written(write.row(), written.version().number(), sentAt));
            announce(write.row(), written.version().number());
        } else if (result instanceof TableWriteResult.Conflict) {
            change(state -> state.conflicted(clock.instant()));
        } else {
            change(state -> state.unanswered(write.row(), sentAt, clock.instant()));
        }
    }

    /** Waits until no call is under way. None begins after that, because the lease is to be given up. */
    private void awaitEndOfCall() {
        synchronized (callLock) {
            releaseWanted = false;
            change(Lease::withoutTenure);
        }
    }

    private void announce(LeaseRow row, long version) {
        peers.announceLease(new DutyUpdate(
                duty,
                row.token().number(),
                row.renewal(),
                row.progress(),
                agreed.getAsLong(),
                row.released(),
                version));
    }

    private void change(UnaryOperator<Lease> transition) {
        AtomicReference<Lease> changed = new AtomicReference<>();
        Lease before = lease.getAndUpdate(state -> {
            changed.set(transition.apply(state));
            return changed.get();
        });
        Lease after = changed.get();
        if (before.tenure().isPresent() != after.tenure().isPresent()) {
            log.info(
                    after.tenure().isPresent() ? "duty-taken" : "duty-lost",
                    LogField.of("duty", duty),
                    LogField.of("token", after.token()));
        } else if (after.tenure().isEmpty() && !before.token().equals(after.token())) {
            log.info(
                    "duty-holder",
                    LogField.of("duty", duty),
                    LogField.of(
                            "holder",
                            after.row().map(row -> row.holder().gateway()).orElse("-")),
                    LogField.of("token", after.token()));
        }
    }
}
