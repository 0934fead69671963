package org.sassafrastrail.decision;

import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Stream;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The outcome of one decision.
 *
 * @param state the next state
 * @param actions what to carry out, in order
 * @param <S> the immutable state
 * @param <A> the sealed type of actions
 */
public record Transition<S, A>(S state, PVector<A> actions) {

    /**
     * Starts a transition that changes nothing.
     *
     * @param state the state
     * @param <S> the immutable state
     * @param <A> the sealed type of actions
     * @return the transition
     */
    public static <S, A> Transition<S, A> stay(S state) {
        return new Transition<>(state, TreePVector.empty());
    }

    /**
     * Changes the state and keeps the actions.
     *
     * @param next the next state
     * @return the transition
     */
    public Transition<S, A> with(S next) {
        return new Transition<>(next, actions);
    }

    /**
     * Adds an action.
     *
     * @param action the action
     * @return the transition
     */
    public Transition<S, A> then(A action) {
        return new Transition<>(state, actions.plus(action));
    }

    /**
     * Adds actions.
     *
     * @param more the actions
     * @return the transition
     */
    public Transition<S, A> thenAll(List<? extends A> more) {
        return new Transition<>(state, actions.plusAll(more));
    }

    /**
     * Goes on from this transition's state with another step.
     *
     * @param step gives the transition that follows from the state
     * @return both transitions as one
     */
    public Transition<S, A> and(Function<S, Transition<S, A>> step) {
        return followedBy(step.apply(state));
    }

    /**
     * Takes a step again and again, each from the state that the one before it left, until there is none. Uses no more
     * of the stack for many steps than for one.
     *
     * @param step gives the transition that follows from the state, or empty if there is none
     * @return all transitions as one
     */
    public Transition<S, A> whilePossible(Function<S, Optional<Transition<S, A>>> step) {
        Transition<S, A> result = this;
        Optional<Transition<S, A>> next = step.apply(state);
        while (next.isPresent()) {
            result = result.followedBy(next.get());
            next = step.apply(result.state);
        }
        return result;
    }

    private Transition<S, A> followedBy(Transition<S, A> next) {
        return new Transition<>(next.state(), actions.plusAll(next.actions()));
    }

    /**
     * Takes one step for each item, each from the state that the one before it left.
     *
     * @param items the items, in order
     * @param step gives the transition that follows from the state and an item
     * @param <T> the type of the items
     * @return all transitions as one
     */
    public <T> Transition<S, A> forEach(Stream<T> items, BiFunction<S, T, Transition<S, A>> step) {
        return items.reduce(
                this, (result, item) -> result.and(next -> step.apply(next, item)), (first, second) -> second);
    }
}
