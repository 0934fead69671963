package org.sassafrastrail.decision;

import java.time.Instant;

/**
 * A pure decision function. Its driver, such as the control thread of a daemon or a test in virtual time, holds the
 * state and carries out the actions.
 *
 * @param <S> the immutable state
 * @param <E> the sealed type of events
 * @param <A> the sealed type of actions
 */
@FunctionalInterface
public interface DecisionCore<S, E, A> {

    /**
     * Handles an event.
     *
     * @param state the state before the event
     * @param event the event
     * @param now the time of the event
     * @return the state after the event and the actions to carry out, in order
     */
    Transition<S, A> handle(S state, E event, Instant now);
}
