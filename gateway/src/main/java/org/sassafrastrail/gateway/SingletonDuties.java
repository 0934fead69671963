package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.UsageUpdate;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.runtime.CompositeService;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.PeriodicTask;
import org.sassafrastrail.runtime.Service;

/** The duties that one gateway at a time has: reports of the usage of client accounts to the platform's API. */
final class SingletonDuties implements Service, DutyMessageListener {

    /** The name of the duty in its row of the store, in messages and in metrics. */
    private static final String ACCOUNT_USAGE = "account-usage";

    private static final Duration LEASE_PAUSE = Duration.ofMillis(100);
    private static final Duration REPORT_PAUSE = Duration.ofMillis(250);

    /** A gateway that is killed loses what it counted since its last message. */
    private static final Duration COUNTS_PAUSE = Duration.ofMillis(500);

    private static final int UPDATES_BETWEEN_REPETITIONS = 4;

    /** The time for the links to write the last counts before they are closed. */
    private static final Duration LAST_COUNTS_TIME = Duration.ofMillis(50);

    private final DutyPeers peers;
    private final UsageCollector usage;
    private final LeaseKeeper lease;
    private final UsageReporter reports;
    private final Service tasks;
    private int updatesUntilRepetition;

    /**
     * Creates the duties, not started yet.
     *
     * @param context what the duties depend on
     * @param wallClock the wall clock
     */
    SingletonDuties(DutyContext context, Clock wallClock) {
        EventLog log = context.log();
        this.peers = context.peers();
        this.usage = new UsageCollector(context.self(), context.settings().usageWindows(), context.clock(), wallClock);
        this.lease = new LeaseKeeper(ACCOUNT_USAGE, context);
        this.reports = new UsageReporter(context, lease, usage);
        this.tasks = new CompositeService(List.of(
                new PeriodicTask("duty-lease", LEASE_PAUSE, lease::poll, log),
                new PeriodicTask("duty-reports", REPORT_PAUSE, reports::poll, log),
                new PeriodicTask("duty-counts", COUNTS_PAUSE, this::shareCounts, log)));
        lease.report(reports::sentThrough, reports::agreedThrough);
        context.metrics().gauge("duty.clock-offset-ms", usage::clockOffsetMilliseconds);
    }

    /** Counts a request of a client account that begins to run now. */
    void requestBegan(AccountName account) {
        usage.add(account);
    }

    private synchronized void shareCounts() {
        updatesUntilRepetition--;
        boolean all = updatesUntilRepetition < 0;
        if (all) {
            updatesUntilRepetition = UPDATES_BETWEEN_REPETITIONS;
        }
        peers.shareUsage(usage.takeUpdate(all));
    }

    @Override
    public void usageReceived(DutyHolder peer, UsageUpdate update) {
        usage.heard(peer, update);
    }

    @Override
    public void leaseReceived(DutyHolder peer, DutyUpdate update) {
        if (update.duty().equals(ACCOUNT_USAGE)) {
            lease.heard(peer, update);
            reports.heard(update);
        }
    }

    @Override
    public void start() {
        peers.listen(this);
        tasks.start();
    }

    /** Sends the last counts. The lease is left to expire, because a gateway that starts again soon must not take it back. */
    @Override
    public void stop() {
        tasks.stop();
        peers.shareUsage(usage.takeUpdate(true));
        try {
            TimeUnit.MILLISECONDS.sleep(LAST_COUNTS_TIME.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
