package org.sassafrastrail.runtime;

/**
 * Executes the actions of a decision core. Only the control thread calls it, so implementations must not block.
 *
 * @param <A> the sealed type of actions
 */
@FunctionalInterface
public interface ActionExecutor<A> {

    /**
     * Executes one action.
     *
     * @param action the action
     */
    void execute(A action);
}
