package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.pcollections.TreePMap;
import org.sassafrastrail.durable.TableWriteResult;
import org.sassafrastrail.duty.LeaseTimes;
import org.sassafrastrail.duty.ReportQueue;
import org.sassafrastrail.duty.UsageReport;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;

/** Agrees on the usage reports in the store and sends them in order, while this gateway has the lease. Runs on one thread. */
final class UsageReporter {

    /** Shorter than a usual window, so that reports keep up with an API that is almost as slow. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

    private final String gateway;
    private final LeaseKeeper lease;
    private final LeaseTimes times;
    private final UsageCollector usage;
    private final DutyPlatform platform;
    private final Duration late;
    private final Clock clock;
    private final Metrics metrics;
    private final EventLog log;
    private final AtomicLong sentThrough = new AtomicLong();
    private Optional<ReportQueue> queue = Optional.empty();
    private Optional<Instant> failingSince = Optional.empty();
    private long lastTried;
    private volatile long agreedThrough;

    UsageReporter(DutyContext context, LeaseKeeper lease, UsageCollector usage) {
        this.gateway = context.self().gateway();
        this.lease = lease;
        this.times = context.settings().leaseTimes();
        this.usage = usage;
        this.platform = context.platform();
        this.late = context.settings().usageLate();
        this.clock = context.clock();
        this.metrics = context.metrics();
        this.log = context.log();
    }

    long sentThrough() {
        return sentThrough.get();
    }

    long agreedThrough() {
        return agreedThrough;
    }

    /** Records how far the holder is. */
    void heard(DutyUpdate update) {
        sentThrough.accumulateAndGet(update.progress(), Math::max);
        usage.forgetThrough(update.agreed());
    }

    /** Performs at most one call of each kind, so that an outage is followed by reports at a bounded rate. */
    void poll() {
        if (!lease.isValid()) {
            queue = Optional.empty();
            failingSince = Optional.empty();
            return;
        }
        if (queue.isEmpty()) {
            queue = platform.readReports().map(this::takenOver);
        }
        queue = queue.map(this::begin).map(this::agree).map(this::send).map(this::removeObsolete);
    }

    private ReportQueue takenOver(List<ReportQueue.AgreedReport> stored) {
        return ReportQueue.takenOver(
                Math.max(sentThrough.get(), lease.recordedProgress()), stored, usage.firstWindow());
    }

    private ReportQueue begin(ReportQueue present) {
        boolean begun = sentThrough.get() > 0 || agreedThrough > 0 || lease.recordedProgress() > 0;
        return begun ? present : present.beginningAt(usage.firstWindow());
    }

    private ReportQueue agree(ReportQueue present) {
        Optional<Long> window = present.nextToAgree(usage.lastCollected());
        if (window.isEmpty() || !lease.isValid()) {
            return present;
        }
        UsageReport report = usage.report(window.get());
        TableWriteResult result = platform.agreeOn(report);
        if (result instanceof TableWriteResult.Conflict) {
            return withStored(present);
        }
        return result instanceof TableWriteResult.Written written
                ? agreed(present.withAgreed(
                        new ReportQueue.AgreedReport(report, written.version().number())))
                : present;
    }

    /** Takes over what an earlier holder, or an own write without an answer, has put in the store. */
    private ReportQueue withStored(ReportQueue present) {
        ReportQueue merged = present;
        for (ReportQueue.AgreedReport stored : platform.readReports().orElse(List.of())) {
            if (!present.agreed().containsKey(stored.report().window())) {
                merged = merged.withAgreed(stored);
            }
        }
        return agreed(merged);
    }

    private ReportQueue agreed(ReportQueue next) {
        TreePMap<Long, ReportQueue.AgreedReport> reports = next.agreed();
        if (!reports.isEmpty()) {
            agreedThrough = Math.max(agreedThrough, reports.lastKey());
            usage.forgetThrough(agreedThrough);
        }
        return next;
    }

    /**
     * Sends the next report. Opening a connection may take seconds before the call is sent, so at least half of the lease has to
     * be left.
     */
    private ReportQueue send(ReportQueue present) {
        Optional<UsageReport> next = present.nextToSend();
        if (next.isEmpty()) {
            return present;
        }
        UsageReport report = next.get();
        Instant startedAt = clock.instant();
        Optional<DutyPlatform.CallResult> result = lease.callAsHolder(
                times.lease().dividedBy(2), token -> platform.send(gateway, token, report, CALL_TIMEOUT));
        if (result.isEmpty()) {
            return present;
        }
        boolean repeated = report.window() <= lastTried;
        lastTried = report.window();
        if (!result.get().accepted()) {
            failed(report, startedAt, result.get().cause());
            return present;
        }
        failingSince = Optional.empty();
        sentThrough.accumulateAndGet(report.window(), Math::max);
        lease.announceProgress();
        record(report, repeated);
        return present.withSent(report.window());
    }

    private void failed(UsageReport report, Instant startedAt, String cause) {
        metrics.count("account-usage.failed", 1);
        if (failingSince.isEmpty()) {
            failingSince = Optional.of(startedAt);
            log.warn("usage-report-failed", LogField.of("window", report.window()), LogField.of("cause", cause));
        }
        if (!clock.instant().isBefore(failingSince.get().plus(times.lease()))) {
            failingSince = Optional.empty();
            lease.releaseIfOthersCanTry();
        }
    }

    private void record(UsageReport report, boolean repeated) {
        Duration sinceEnd = usage.sinceEnd(report.window());
        metrics.count("account-usage.sent", 1);
        if (repeated) {
            metrics.count("account-usage.repeated", 1);
        }
        if (sinceEnd.compareTo(late) > 0) {
            metrics.count("account-usage.late", 1);
        }
        log.info(
                "usage-reported",
                LogField.of("window", report.window()),
                LogField.of(
                        "requests",
                        report.counts().values().stream()
                                .mapToLong(Long::longValue)
                                .sum()),
                LogField.of("after-end-ms", sinceEnd.toMillis()),
                LogField.of("repeated", repeated));
    }

    private ReportQueue removeObsolete(ReportQueue present) {
        return present.obsolete(lease.recordedProgress())
                .filter(report -> lease.isValid())
                .filter(report -> !(platform.remove(report) instanceof TableWriteResult.Unavailable))
                .map(report -> present.without(report.report().window()))
                .orElse(present);
    }
}
