package org.sassafrastrail.decision;

import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Stream;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The result of a decision: the next state and the actions to carry out.
 *
 * @param state the next state
 * @param actions the actions to carry out, in order
 * @param <S> the immutable state
 * @param <A> the sealed type of actions
 */
public record Transition<S, A>(S state, PVector<A> actions) {

    /**
     * Returns a transition to the given state without actions.
     *
     * @param state the state
     * @param <S> the immutable state
     * @param <A> the sealed type of actions
     * @return the transition
     */
    public static <S, A> Transition<S, A> to(S state) {
        return new Transition<>(state, TreePVector.empty());
    }

    /**
     * Replaces the state and keeps the actions.
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
     * Appends a step that starts from this transition's state.
     *
     * @param step returns the transition for the state
     * @return the combined transition
     */
    public Transition<S, A> and(Function<S, Transition<S, A>> step) {
        return followedBy(step.apply(state));
    }

    /**
     * Repeats a step, each time from the state after the previous one, until the step returns empty. The stack depth
     * does not depend on the number of steps.
     *
     * @param step returns the transition for the state, or empty to end
     * @return the combined transition
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
     * Applies a step to each item in order, each time from the state after the previous one.
     *
     * @param items the items, in order
     * @param step returns the transition for the state and an item
     * @param <T> the type of the items
     * @return the combined transition
     */
    public <T> Transition<S, A> forEach(Stream<T> items, BiFunction<S, T, Transition<S, A>> step) {
        return items.reduce(
                this, (result, item) -> result.and(next -> step.apply(next, item)), (first, second) -> second);
    }
}
