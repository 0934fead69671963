package org.sassafrastrail.decision;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A core made of one handler for each kind of event. {@link #complete} checks that no kind of the sealed event type was
 * forgotten, which Java 17's switch can't.
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
     * Starts without handlers.
     *
     * @param eventType the sealed type of events
     * @param <S> the immutable state
     * @param <E> the sealed type of events
     * @param <A> the sealed type of actions
     * @return a router without handlers
     */
    public static <S, E, A> EventRouter<S, E, A> over(Class<E> eventType) {
        return new EventRouter<>(eventType, HashTreePMap.empty());
    }

    /**
     * Adds the handler of one kind of event.
     *
     * @param kind the kind of event
     * @param handler its handler
     * @param <K> the kind of event
     * @return a router that has the handler too
     */
    public <K extends E> EventRouter<S, E, A> on(Class<K> kind, EventHandler<S, K, A> handler) {
        EventHandler<S, E, A> checked = (state, event, now) -> handler.handle(state, kind.cast(event), now);
        return new EventRouter<>(eventType, handlers.plus(kind, checked));
    }

    /**
     * Checks that every kind of event has its handler.
     *
     * @return this router
     * @throws IllegalStateException if a kind of event has none
     */
    public EventRouter<S, E, A> complete() {
        List<String> missing = Arrays.stream(eventType.getPermittedSubclasses())
                .filter(kind -> !handlers.containsKey(kind))
                .map(Class::getSimpleName)
                .toList();
        if (!missing.isEmpty()) {
            throw new IllegalStateException("no handler for " + missing);
        }
        return this;
    }

    @Override
    public Transition<S, A> handle(S state, E event, Instant now) {
        return handlers.get(event.getClass()).handle(state, event, now);
    }
}
