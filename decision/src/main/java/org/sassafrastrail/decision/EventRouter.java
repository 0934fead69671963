package org.sassafrastrail.decision;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A decision core that routes each type of event to its handler. {@link #complete} checks that every permitted subclass
 * of the sealed event type has a handler, because a switch in Java 17 cannot check this.
 *
 * @param <S> the immutable state
 * @param <E> the sealed type of events
 * @param <A> the sealed type of actions
 */
public final class EventRouter<S, E, A> implements DecisionCore<S, E, A> {

    private final Class<E> eventType;
    private final PMap<Class<?>, EventHandler<S, E, A>> handlers;

    private EventRouter(Class<E> eventType, PMap<Class<?>, EventHandler<S, E, A>> handlers) {
        this.eventType = eventType;
        this.handlers = handlers;
    }

    /**
     * Creates a router without handlers.
     *
     * @param eventType the sealed type of events
     * @param <S> the immutable state
     * @param <E> the sealed type of events
     * @param <A> the sealed type of actions
     * @return the router
     */
    public static <S, E, A> EventRouter<S, E, A> over(Class<E> eventType) {
        return new EventRouter<>(eventType, HashTreePMap.empty());
    }

    /**
     * Adds the handler for one type of event.
     *
     * @param kind the class of the events
     * @param handler the handler
     * @param <K> the type of event
     * @return a router with the handler added
     */
    public <K extends E> EventRouter<S, E, A> on(Class<K> kind, EventHandler<S, K, A> handler) {
        EventHandler<S, E, A> checked = (state, event, now) -> handler.handle(state, kind.cast(event), now);
        return new EventRouter<>(eventType, handlers.plus(kind, checked));
    }

    /**
     * Checks that every type of event has a handler.
     *
     * @return this router
     * @throws IllegalStateException if an event type has no handler
     */
    public EventRouter<S, E, A> complete() {
        List<String> missing = Arrays.stream(eventType.getPermittedSubclasses())
                .filter(kind -> !handlers.containsKey(kind))
                .map(Class::getSimpleName)
                .toList();
        if (!missing.isEmpty()) {
            throw new IllegalStateException("no handler for event types " + missing);
        }
        return this;
    }

    @Override
    public Transition<S, A> handle(S state, E event, Instant now) {
        return handlers.get(event.getClass()).handle(state, event, now);
    }
}
