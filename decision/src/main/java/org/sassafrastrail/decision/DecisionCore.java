package org.sassafrastrail.decision;

import java.time.Instant;

/**
 * A pure decision function. Whoever drives it (a daemon's control thread, a test over virtual time) holds the state
 * and carries out the actions.
 *
 * @param <S> the immutable state
 * @param <E> the sealed type of events
 * @param <A> the sealed type of actions
 */
@FunctionalInterface
public interface DecisionCore<S, E, A> {

    /**
     * Decides what follows from one event.
     *
     * @param state the state before the event
     * @param event what happened
     * @param now the time of the event
     * @return the state after the event and the actions to carry out, in order
     */
    Transition<S, A> handle(S state, E event, Instant now);
}
