package org.sassafrastrail.runtime;

/**
 * Carries out a core's actions. Called by the control thread alone, so it must not block.
 *
 * @param <A> the sealed type of actions
 */
@FunctionalInterface
public interface ActionExecutor<A> {

    /**
     * Carries out one action.
     *
     * @param action the action
     */
    void execute(A action);
}
