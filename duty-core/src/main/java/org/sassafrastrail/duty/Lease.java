package org.sassafrastrail.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What a gateway knows of the lease of a duty, and what it does for it. All times are those of its monotonic clock.
 *
 * <p>A holder renews the lease by a write on condition of the row's version, and acts until shortly before the lease time after
 * it sent its last successful write has passed. Another gateway takes the lease only when it has seen the same row for longer
 * than the lease time, so that the holder has stopped by then.
 *
 * @param self this gateway
 * @param times the times of the lease
 * @param known the row as it was last seen, empty before it was first seen
 * @param tenure the time for which this gateway holds the lease, empty if it does not
 * @param pending the last write without an answer, empty if there is none
 * @param highest the highest token that was seen
 * @param check whether the row has to be read before it is written
 * @param nextStepAt the earliest time of the next step
 */
public record Lease(
        DutyHolder self,
        LeaseTimes times,
        Optional<KnownRow> known,
        Optional<Tenure> tenure,
        Optional<PendingWrite> pending,
        FencingToken highest,
        boolean check,
        Instant nextStepAt) {

    /**
     * Creates the state of a gateway that knows nothing of the lease. It first listens for a holder over the links.
     *
     * @param self this gateway
     * @param times the times of the lease
     * @param now the current time
     * @return the state
     */
    public static Lease unknown(DutyHolder self, LeaseTimes times, Instant now) {
        return new Lease(
                self,
                times,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                FencingToken.NONE,
                true,
                now.plus(times.renewal()));
    }

    /**
     * Returns whether this gateway may act as the holder.
     *
     * @param now the current time
     * @return whether it may
     */
    public boolean isValid(Instant now) {
        return timeLeft(now).compareTo(Duration.ZERO) > 0;
    }

    /**
     * Returns how long this gateway may act as the holder, unless it renews the lease.
     *
     * @param now the current time
     * @return the time, zero if it may not act
     */
    public Duration timeLeft(Instant now) {
        return tenure.map(Tenure::validUntil)
                .filter(now::isBefore)
                .map(end -> Duration.between(now, end))
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the token of the row as it was last seen.
     *
     * @return the token
     */
    public FencingToken token() {
        return known.map(KnownRow::token).orElse(FencingToken.NONE);
    }

    /**
     * Returns the row as it was last seen.
     *
     * @return the row, empty if there is none or it is unknown
     */
    public Optional<LeaseRow> row() {
        return known.flatMap(KnownRow::row);
    }

    /**
     * Decides on the next step.
     *
     * @param now the current time
     * @param progress how far this gateway knows the duty to be done
     * @param takeoverDelay how long this gateway waits before it tries for a free lease
     * @param era the era of the store
     * @return the step
     */
    public LeaseStep next(Instant now, long progress, Duration takeoverDelay, long era) {
        if (now.isBefore(nextStepAt)) {
            return new LeaseStep.Wait();
        }
        if (tenure.isPresent()) {
            return check
                    ? new LeaseStep.Read()
                    : new LeaseStep.Write(
                            row().orElseThrow().renewed(progress),
                            known.orElseThrow().version());
        }
        Instant free = known.map(this::freeAt).orElse(nextStepAt).plus(takeoverDelay);
        if (pending.isEmpty() && now.isBefore(free)) {
            return new LeaseStep.Wait();
        }
        return check || known.isEmpty()
                ? new LeaseStep.Read()
                : new LeaseStep.Write(
                        takenOver(known.get(), progress, era), known.get().version());
    }

    /**
     * Returns the write by which the holder gives up the lease.
     *
     * @param progress how far this gateway knows the duty to be done
     * @return the write, empty if this gateway does not hold the lease or has to read its row first
     */
    public Optional<LeaseStep.Write> release(long progress) {
        return tenure.isPresent() && !check
                ? Optional.of(new LeaseStep.Write(
                        row().orElseThrow().asReleased(progress),
                        known.orElseThrow().version()))
                : Optional.empty();
    }

    private Instant freeAt(KnownRow seen) {
        return seen.isFree() ? seen.since() : seen.since().plus(times.untilTakeover());
    }

    private LeaseRow takenOver(KnownRow seen, long progress, long era) {
        long done = seen.row().map(LeaseRow::progress).orElse(0L);
        return new LeaseRow(self, seen.token().max(highest).next(era), 0, Math.max(done, progress), false);
    }

    /**
     * Records that another gateway told of its lease.
     *
     * @param row the row that it wrote
     * @param version the version of the row
     * @param now the current time
     * @return the new state
     */
    public Lease heard(LeaseRow row, long version, Instant now) {
        KnownRow next = new KnownRow(Optional.of(row), version, now);
        boolean news = row.token().compareTo(highest) >= 0
                && !row.holder().equals(self)
                && known.filter(next::isSame).isEmpty();
        return news
                ? new Lease(
                        self,
                        times,
                        Optional.of(next),
                        Optional.empty(),
                        Optional.empty(),
                        row.token(),
                        true,
                        nextStepAt)
                : this;
    }

    /**
     * Records what was read of the row. A row that is still the same when the lease has expired is written next. An own row is
     * that of a write without an answer, or of one before it; the holder may then act as long as that write allows.
     *
     * @param row the content, empty if there is no row
     * @param version the version, 0 if there is no row
     * @param now the time at which it was read
     * @return the new state
     */
    public Lease read(Optional<LeaseRow> row, long version, Instant now) {
        KnownRow next = new KnownRow(row, version, now);
        if (next.isOf(self) && !next.isFree() && next.token().compareTo(highest) >= 0) {
            return pending.filter(write -> write.row().equals(row.get()))
                    .map(write -> written(write.row(), version, write.sentAt()))
                    .orElseGet(() -> withOwnRow(next, now));
        }
        Optional<KnownRow> same = known.filter(next::isSame);
        FencingToken token = highest.max(next.token());
        return new Lease(
                self,
                times,
                Optional.of(same.orElse(next)),
                Optional.empty(),
                pending.filter(write -> same.isPresent()),
                token,
                row.isPresent() && same.isEmpty(),
                now);
    }

    private Lease withOwnRow(KnownRow own, Instant now) {
        Tenure kept = tenure.orElse(new Tenure(now, now));
        return new Lease(
                self,
                times,
                Optional.of(own),
                Optional.of(kept),
                Optional.empty(),
                highest.max(own.token()),
                false,
                now);
    }

    /**
     * Records a successful write.
     *
     * @param row the content that was written
     * @param version the new version of the row
     * @param sentAt the time just before it was sent
     * @return the new state
     */
    public Lease written(LeaseRow row, long version, Instant sentAt) {
        Tenure renewed = new Tenure(tenure.map(Tenure::since).orElse(sentAt), sentAt.plus(times.validity()));
        return new Lease(
                self,
                times,
                Optional.of(new KnownRow(Optional.of(row), version, sentAt)),
                row.released() ? Optional.empty() : Optional.of(renewed),
                Optional.empty(),
                highest.max(row.token()),
                row.released(),
                sentAt.plus(row.released() ? times.abstention() : times.renewal()));
    }

    /**
     * Records that the store has come back from an older copy. What was known of the row is void, and a gateway may hold the lease
     * by a write that is lost, so nobody takes it before that has ended. Rows with tokens of earlier eras count as another's.
     *
     * @param era the new era of the store
     * @param now the current time
     * @return the new state
     */
    public Lease restored(long era, Instant now) {
        return new Lease(
                self,
                times,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                highest.max(FencingToken.beforeEra(era)),
                true,
                now.plus(times.untilTakeover()));
    }

    /**
     * Stops acting as the holder, before the lease is given up.
     *
     * @return the new state
     */
    public Lease withoutTenure() {
        return new Lease(self, times, known, Optional.empty(), pending, highest, check, nextStepAt);
    }

    /**
     * Returns the version of the row as it was last seen.
     *
     * @return the version, 0 if there is no row or it is unknown
     */
    public long version() {
        return known.map(KnownRow::version).orElse(0L);
    }

    /**
     * Records a write that failed because the row has another version.
     *
     * @param now the current time
     * @return the new state
     */
    public Lease conflicted(Instant now) {
        return new Lease(self, times, known, tenure, pending, highest, true, now);
    }

    /**
     * Records a write without an answer.
     *
     * @param row the content of the write
     * @param sentAt the time just before it was sent
     * @param now the current time
     * @return the new state
     */
    public Lease unanswered(LeaseRow row, Instant sentAt, Instant now) {
        PendingWrite write =
                pending.filter(earlier -> earlier.row().equals(row)).orElseGet(() -> new PendingWrite(row, sentAt));
        Optional<Tenure> kept = tenure.filter(present -> !row.released());
        return new Lease(self, times, known, kept, Optional.of(write), highest, true, now.plus(times.retry()));
    }

    /**
     * Records that the row could not be read.
     *
     * @param now the current time
     * @return the new state
     */
    public Lease unreadable(Instant now) {
        return new Lease(self, times, known, tenure, pending, highest, check, now.plus(times.retry()));
    }
}
