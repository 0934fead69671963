package org.sassafrastrail.decision;

import java.time.Instant;

/**
 * Decides on one kind of event.
 *
 * @param <S> the immutable state
 * @param <E> the kind of event
 * @param <A> the sealed type of actions
 */
@FunctionalInterface
public interface EventHandler<S, E, A> {

    /**
     * Decides what follows from the event.
     *
     * @param state the state before the event
     * @param event what happened
     * @param now the time of the event
     * @return the state after the event and the actions
     */
    Transition<S, A> handle(S state, E event, Instant now);
}
