package org.sassafrastrail.runtime;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.Transition;

/**
 * The event loop of a daemon's only control thread, which alone changes the control state. It passes each queued event
 * to the decision core, publishes the new state and executes the resulting actions. Other threads post events and read
 * the published state.
 *
 * @param <S> the immutable state
 * @param <E> the sealed type of events
 * @param <A> the sealed type of actions
 */
public final class ControlLoop<S, E, A> implements Service {

    /** A queueing time above this is logged. */
    private static final Duration LAG_WARNING_THRESHOLD = Duration.ofMillis(250);

    /** The minimum time between two warnings. */
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
     * Creates a loop.
     *
     * @param name the name of the thread
     * @param core the decision core
     * @param initial the initial state
     * @param executor executes the actions
     * @param clock supplies the time of events
     * @param metrics records the queueing times of events
     * @param log receives failures of the core and warnings on long queueing times
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

    /** An event and the time at which it was posted. */
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
     * Queues an event for the control thread.
     *
     * @param event the event
     */
    public void post(E event) {
        events.add(new QueuedEvent<>(event, clock.instant()));
    }

    /**
     * Returns the state after the last event handled.
     *
     * @return the published state
     */
    public S state() {
        return state;
    }

    /**
     * Returns how long the oldest queued event has been waiting. It grows without bound if the control thread is blocked.
     *
     * @return the queueing time, zero if no event is queued
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

    /** Handles an event. If that fails, only this event is lost, because the immutable state is left as it was. */
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
