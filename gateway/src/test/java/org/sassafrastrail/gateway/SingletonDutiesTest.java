package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableWriteResult;
import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.duty.FencingToken;
import org.sassafrastrail.duty.LeaseRow;
import org.sassafrastrail.duty.ReportQueue;
import org.sassafrastrail.duty.UsageReport;
import org.sassafrastrail.messages.AccountCount;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.UsageUpdate;
import org.sassafrastrail.messages.WindowUsage;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against calls without a lease, and against two contents of one report. The test's clock does not run by itself. */
class SingletonDutiesTest {

    private static final DutyHolder SELF = new DutyHolder("own", 1);
    private static final DutyHolder PEER = new DutyHolder("peer", 1);
    private static final AccountName ACCOUNT = new AccountName("hule");
    private static final long WINDOW = 360_000_000;

    private final SettableClock clock = new SettableClock(Instant.ofEpochSecond(1_800_000_001));
    private final SettableClock wallClock = new SettableClock(clock.now);
    private final FakePlatform platform = new FakePlatform();
    private final DutyContext context = new DutyContext(
            SELF,
            new DutySettings("127.0.0.1:1", List.of("a duty"), null, null, null, null),
            platform,
            new NoPeers(),
            clock,
            new Metrics(new MetricRegistry()),
            new EventLog("test"));
    private final LeaseKeeper lease = new LeaseKeeper("account-usage", context);
    private final UsageCollector usage =
            new UsageCollector(SELF, context.settings().usageWindows(), clock, wallClock);
    private final UsageReporter reports = new UsageReporter(context, lease, usage);

    @Test
    void holderReportsItsCountsAndThoseOfItsPeers() {
        usage.add(ACCOUNT);
        usage.heard(PEER, update(4));
        run(Duration.ofSeconds(9));

        assertThat(platform.sent).extracting(UsageReport::window).containsExactly(WINDOW);
        assertThat(platform.sent.get(0).counts()).isEqualTo(Map.of("hule", 5L));
    }

    /** Guards against requests in no report: the first holder began with its own window before it had heard its peers' counts. */
    @Test
    void countsThatArriveAfterTheFirstHolderBeganAreReported() {
        advance(Duration.ofMillis(4500));
        run(Duration.ofMillis(2500));
        usage.heard(PEER, update(4));
        run(Duration.ofSeconds(8));

        assertThat(platform.sent).extracting(UsageReport::window).startsWith(WINDOW, WINDOW + 1);
        assertThat(platform.sent.get(0).counts()).isEqualTo(Map.of("hule", 4L));
    }

    @Test
    void pausedHolderDoesNotSendWhenItResumes() {
        run(Duration.ofSeconds(5));
        platform.lease = Optional.of(new LeaseRow(PEER, new FencingToken(2), 0, 0, false));
        platform.version++;
        advance(Duration.ofSeconds(10));
        reports.poll();
        run(Duration.ofSeconds(1));

        assertThat(platform.sent).isEmpty();
    }

    /** The earlier content may have been sent by the last holder, or by this one before it lost its answer. */
    @Test
    void contentThatIsInTheStoreIsSent() {
        run(Duration.ofSeconds(5));
        UsageReport earlier = new UsageReport(WINDOW, new TreeMap<>(Map.of("hule", 9L)));
        platform.reports.put(WINDOW, new ReportQueue.AgreedReport(earlier, 1));
        usage.add(ACCOUNT);
        run(Duration.ofSeconds(4));

        assertThat(platform.sent).containsExactly(earlier);
    }

    @Test
    void wallClockThatStepsDoesNotMoveCountsToAnotherWindow() {
        usage.heard(PEER, update(0));
        usage.heard(new DutyHolder("third", 1), update(0));
        wallClock.now = wallClock.now.plusSeconds(7);
        usage.takeUpdate(true);
        usage.add(ACCOUNT);

        assertThat(usage.report(WINDOW).counts()).containsEntry("hule", 1L);
    }

    private UsageUpdate update(long requests) {
        return new UsageUpdate(
                clock.millis(), List.of(new WindowUsage(WINDOW, List.of(new AccountCount("hule", requests)))));
    }

    private void run(Duration duration) {
        for (Instant end = clock.now.plus(duration); clock.now.isBefore(end); ) {
            lease.poll();
            reports.poll();
            advance(Duration.ofMillis(250));
        }
    }

    private void advance(Duration duration) {
        clock.now = clock.now.plus(duration);
        wallClock.now = wallClock.now.plus(duration);
    }

    /** A store with one lease, and an API that accepts all reports. */
    private static final class FakePlatform implements DutyPlatform {

        private Optional<LeaseRow> lease = Optional.empty();
        private long version;
        private final TreeMap<Long, ReportQueue.AgreedReport> reports = new TreeMap<>();
        private final List<UsageReport> sent = new ArrayList<>();

        @Override
        public long era() {
            return 0;
        }

        @Override
        public Optional<StoredLease> readLease(String duty) {
            return Optional.of(new StoredLease(lease, version));
        }

        @Override
        public TableWriteResult writeLease(String duty, LeaseRow row, long expectedVersion) {
            if (expectedVersion != version) {
                return new TableWriteResult.Conflict();
            }
            lease = Optional.of(row);
            version++;
            return new TableWriteResult.Written(new StoreVersion(0, version));
        }

        @Override
        public Optional<List<ReportQueue.AgreedReport>> readReports() {
            return Optional.of(List.copyOf(reports.values()));
        }

        @Override
        public TableWriteResult agreeOn(UsageReport report) {
            ReportQueue.AgreedReport agreed = new ReportQueue.AgreedReport(report, 1);
            return reports.putIfAbsent(report.window(), agreed) == null
                    ? new TableWriteResult.Written(new StoreVersion(0, 1))
                    : new TableWriteResult.Conflict();
        }

        @Override
        public TableWriteResult remove(ReportQueue.AgreedReport report) {
            reports.remove(report.report().window());
            return new TableWriteResult.Written(new StoreVersion(0, 2));
        }

        @Override
        public CallResult send(String holder, FencingToken token, UsageReport report, Duration timeout) {
            sent.add(report);
            return new CallResult(true, "status 200");
        }
    }

    private static final class NoPeers implements DutyPeers {

        @Override
        public void shareUsage(UsageUpdate update) {
            // Nobody listens.
        }

        @Override
        public void announceLease(DutyUpdate update) {
            // Nobody listens.
        }

        @Override
        public Set<String> linkedPeers() {
            return Set.of();
        }

        @Override
        public void listen(DutyMessageListener listener) {
            // Nobody speaks.
        }
    }

    private static final class SettableClock extends Clock {

        private Instant now;

        SettableClock(Instant now) {
            this.now = now;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            throw new UnsupportedOperationException("the test needs no zones");
        }

        @Override
        public Instant instant() {
            return now;
        }
    }
}
