package org.sassafrastrail.router;

import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.sassafrastrail.durable.ControllerLeaseStore;
import org.sassafrastrail.durable.IdempotencyKeyStore;
import org.sassafrastrail.durable.MoveProgressStore;
import org.sassafrastrail.durable.RuleFileStore;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rollout.ControllerLease;
import org.sassafrastrail.rollout.RolloutAction;
import org.sassafrastrail.rollout.RolloutEvent;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterProcessEvent;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Service;

/**
 * Calls the platform on separate threads, so that a slow platform blocks neither the control thread nor traffic
 * threads.
 */
final class PlatformClient implements Service {

    private static final int KEY_THREADS = 4;

    private final RuleFileStore ruleFiles;
    private final IdempotencyKeyStore keys;
    private final ControllerLeaseStore leases;
    private final MoveProgressStore moves;
    private final Clock clock;
    private final Supplier<Revision> revision;
    private final Consumer<RouterProcessEvent> control;
    private final EventLog log = new EventLog("org.sassafrastrail.router");
    private final ScheduledExecutorService keyThreads =
            Executors.newScheduledThreadPool(KEY_THREADS, PlatformClient::daemonThread);
    private final ScheduledExecutorService ruleThread =
            Executors.newSingleThreadScheduledExecutor(PlatformClient::daemonThread);
    private final ScheduledExecutorService moveThread =
            Executors.newSingleThreadScheduledExecutor(PlatformClient::daemonThread);

    PlatformClient(
            RuleFileStore ruleFiles,
            IdempotencyKeyStore keys,
            ControllerLeaseStore leases,
            MoveProgressStore moves,
            Clock clock,
            Supplier<Revision> revision,
            Consumer<RouterProcessEvent> control) {
        this.ruleFiles = ruleFiles;
        this.keys = keys;
        this.leases = leases;
        this.moves = moves;
        this.clock = clock;
        this.revision = revision;
        this.control = control;
    }

    private static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work, "platform");
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void start() {
        // The executors start their threads with the first task.
    }

    @Override
    public void stop() {
        keyThreads.shutdownNow();
        ruleThread.shutdownNow();
        moveThread.shutdownNow();
    }

    void readRules() {
        ruleThread.execute(this::readRulesNow);
    }

    /** Reads the rule file in force on the calling thread. */
    void readRulesNow() {
        Optional<RuleDocument> read = ruleFiles.fetchIfNewer(revision.get());
        post(read.<RouterEvent>map(RouterEvent.RulesRead::new).orElseGet(RouterEvent.PlatformUnavailable::new));
    }

    void claim(RouterAction.ClaimIdempotencyKey action) {
        keyThreads.schedule(() -> claimNow(action), action.after().toMillis(), TimeUnit.MILLISECONDS);
    }

    private void claimNow(RouterAction.ClaimIdempotencyKey action) {
        post(new RouterEvent.IdempotencyClaimCompleted(action.request().identifier(), claimResult(action)));
    }

    /** Claims a key. A fault counts as a lost response, because a claim without a result waits until its deadline. */
    private RouterEvent.IdempotencyClaimResult claimResult(RouterAction.ClaimIdempotencyKey action) {
        try {
            return switch (keys.claim(
                    action.request().account(), action.key(), action.request().identifier())) {
                case OWNED -> RouterEvent.IdempotencyClaimResult.OWNED;
                case HELD_BY_OTHER -> RouterEvent.IdempotencyClaimResult.HELD_BY_OTHER;
                case UNAVAILABLE -> RouterEvent.IdempotencyClaimResult.UNAVAILABLE;
            };
        } catch (RuntimeException fault) {
            log.error(
                    "idempotency-claim-fault",
                    fault,
                    LogField.of("request", action.request().identifier()));
            return RouterEvent.IdempotencyClaimResult.UNAVAILABLE;
        }
    }

    void release(RouterAction.ReleaseIdempotencyKey action) {
        keyThreads.execute(() -> keys.release(
                action.request().account(), action.key(), action.request().identifier()));
    }

    void execute(RolloutAction action) {
        if (action instanceof RolloutAction.AcquireLease) {
            moveThread.execute(this::acquireLease);
        }
        if (action instanceof RolloutAction.ReadStep read) {
            moveThread.execute(() -> moves.read(read.move()).ifPresent(this::postProgress));
        }
        if (action instanceof RolloutAction.RecordStep step) {
            moveThread.execute(
                    () -> moves.compareAndSet(step.step(), step.rowVersion()).ifPresent(this::postProgress));
        }
    }

    private void acquireLease() {
        ControllerLeaseStore.AcquireResult result = leases.acquireOrRenew(clock.instant());
        if (result instanceof ControllerLeaseStore.AcquireResult.Held held) {
            ControllerLease lease = new ControllerLease(held.fencingToken(), held.expiresAt());
            control.accept(new RouterProcessEvent.ForRollout(new RolloutEvent.LeaseHeld(lease)));
        }
        if (result instanceof ControllerLeaseStore.AcquireResult.HeldByOther) {
            control.accept(new RouterProcessEvent.ForRollout(new RolloutEvent.LeaseHeldByOther()));
        }
    }

    private void postProgress(MoveProgressStore.VersionedProgress versioned) {
        control.accept(new RouterProcessEvent.ForRollout(
                new RolloutEvent.StepRowReceived(versioned.progress(), versioned.rowVersion())));
    }

    private void post(RouterEvent event) {
        control.accept(new RouterProcessEvent.ForRouter(event));
    }
}
