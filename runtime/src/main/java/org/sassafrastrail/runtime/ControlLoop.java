package org.sassafrastrail.runtime;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.Transition;

/**
 * The one control thread of a daemon. It alone changes the control state: it takes events in order, asks the core, and
 * has the actions carried out. Other threads post events and read the published state.
 *
 * @param <S> the immutable state
 * @param <E> the sealed type of events
 * @param <A> the sealed type of actions
 */
public final class ControlLoop<S, E, A> implements Service {

    /** Events that waited longer than this are logged. */
    private static final Duration LAG_WARNING_THRESHOLD = Duration.ofMillis(250);

    private static final Duration LAG_WARNING_INTERVAL = Duration.ofSeconds(1);

    private final String name;
    private final DecisionCore<S, E, A> core;
    private final ActionExecutor<A> executor;
    private final Clock clock;
    private final Metrics metrics;
    private final EventLog log;
    private final BlockingQueue<QueuedEvent<E>> events = new LinkedBlockingQueue<>();
    private Instant lastLagWarning = Instant.MIN;
    private volatile S state;
    private volatile Thread thread;

    /**
     * Makes the loop.
     *
     * @param name the name of the thread
     * @param core the decisions
     * @param initial the first state
     * @param executor carries out the actions
     * @param clock tells the time of events
     * @param metrics times how long events wait
     * @param log logs events that a core could not handle, and that waited long
     */
    public ControlLoop(
            String name,
            DecisionCore<S, E, A> core,
            S initial,
            ActionExecutor<A> executor,
            Clock clock,
            Metrics metrics,
            EventLog log) {
        this.name = name;
        this.core = core;
        this.state = initial;
        this.executor = executor;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    /** An event and when it was posted. */
    private record QueuedEvent<E>(E event, Instant postedAt) {}

    @Override
    public void start() {
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        if (thread != null) {
            thread.interrupt();
        }
    }

    /**
     * Hands an event to the control thread.
     *
     * @param event the event
     */
    public void post(E event) {
        events.add(new QueuedEvent<>(event, clock.instant()));
    }

    /**
     * Returns the state after the last event.
     *
     * @return the published state
     */
    public S state() {
        return state;
    }

    /**
     * Returns for how long the oldest event waits, which grows without end if the thread stands still.
     *
     * @return the time, zero if no event waits
     */
    public Duration lag() {
        QueuedEvent<E> oldest = events.peek();
        return oldest == null ? Duration.ZERO : Duration.between(oldest.postedAt(), clock.instant());
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                QueuedEvent<E> next = events.take();
                Instant now = clock.instant();
                recordLag(next, now);
                handle(next.event(), now);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordLag(QueuedEvent<E> next, Instant now) {
        Duration lag = Duration.between(next.postedAt(), now);
        metrics.recordDuration("control.lag", lag.toNanos());
        if (lag.compareTo(LAG_WARNING_THRESHOLD) > 0 && now.isAfter(lastLagWarning.plus(LAG_WARNING_INTERVAL))) {
            lastLagWarning = now;
            log.warn(
                    "control-late",
                    LogField.of("lag-ms", lag.toMillis()),
                    LogField.of("events-waiting", events.size()),
                    LogField.of("event-type", next.event().getClass().getSimpleName()));
        }
    }

    /** A fault costs its event only: the state is immutable, so it is as it was before. */
    private void handle(E event, Instant now) {
        try {
            Transition<S, A> transition = core.handle(state, event, now);
            state = transition.state();
            transition.actions().forEach(executor::execute);
        } catch (RuntimeException | Error fault) {
            log.error(
                    "control-fault",
                    fault,
                    LogField.of("event-type", event.getClass().getSimpleName()));
        }
    }
}
