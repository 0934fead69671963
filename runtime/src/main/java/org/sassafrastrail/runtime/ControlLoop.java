package org.sassafrastrail.runtime;

import java.time.Clock;
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

    private final String name;
    private final DecisionCore<S, E, A> core;
    private final ActionExecutor<A> executor;
    private final Clock clock;
    private final EventLog log;
    private final BlockingQueue<E> events = new LinkedBlockingQueue<>();
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
     * @param log logs events that a core could not handle
     */
    public ControlLoop(
            String name, DecisionCore<S, E, A> core, S initial, ActionExecutor<A> executor, Clock clock, EventLog log) {
        this.name = name;
        this.core = core;
        this.state = initial;
        this.executor = executor;
        this.clock = clock;
        this.log = log;
    }

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
        events.add(event);
    }

    /**
     * Returns the state after the last event.
     *
     * @return the published state
     */
    public S state() {
        return state;
    }

    private void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                handle(events.take());
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(E event) {
        try {
            Transition<S, A> transition = core.handle(state, event, clock.instant());
            state = transition.state();
            transition.actions().forEach(executor::carryOut);
        } catch (RuntimeException fault) {
            log.error(
                    "control-fault",
                    fault,
                    LogField.of("event-type", event.getClass().getSimpleName()));
        }
    }
}
