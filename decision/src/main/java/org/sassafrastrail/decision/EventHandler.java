package org.sassafrastrail.decision;

import java.time.Instant;

/**
 * Handles one type of event of a decision core.
 *
 * @param <S> the immutable state
 * @param <E> the type of event
 * @param <A> the sealed type of actions
 */
@FunctionalInterface
public interface EventHandler<S, E, A> {

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
