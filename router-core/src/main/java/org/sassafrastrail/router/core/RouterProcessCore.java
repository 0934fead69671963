package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.rollout.RolloutAction;
import org.sassafrastrail.rollout.RolloutEvent;
import org.sassafrastrail.rollout.RolloutState;

/**
 * Combines the decisions of a router with those of the rollout controller, which shares the router's control thread and
 * is active while this process holds the controller lease. The controller receives the router's rules, evidence and
 * move status with each of its ticks; the router receives each recorded step and each suspension immediately.
 */
public final class RouterProcessCore
        implements DecisionCore<RouterProcessState, RouterProcessEvent, RouterProcessAction> {

    private static final Duration ROLLOUT_INTERVAL = Duration.ofMillis(500);

    private final DecisionCore<RouterState, RouterEvent, RouterAction> router;
    private final DecisionCore<RolloutState, RolloutEvent, RolloutAction> rollout;
    private final DecisionCore<RouterProcessState, RouterProcessEvent, RouterProcessAction> handlers;

    /**
     * Combines the two cores.
     *
     * @param router the decisions of the router
     * @param rollout the decisions of the rollout controller
     */
    public RouterProcessCore(
            DecisionCore<RouterState, RouterEvent, RouterAction> router,
            DecisionCore<RolloutState, RolloutEvent, RolloutAction> rollout) {
        this.router = router;
        this.rollout = rollout;
        this.handlers = EventRouter.<RouterProcessState, RouterProcessEvent, RouterProcessAction>over(
                        RouterProcessEvent.class)
                .on(RouterProcessEvent.ForRouter.class, (state, event, now) -> handleRouter(state, event.event(), now))
                .on(
                        RouterProcessEvent.ForRollout.class,
                        (state, event, now) -> handleRollout(state, event.event(), now))
                .complete();
    }

    @Override
    public Transition<RouterProcessState, RouterProcessAction> handle(
            RouterProcessState state, RouterProcessEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }

    private Transition<RouterProcessState, RouterProcessAction> handleRouter(
            RouterProcessState state, RouterEvent event, Instant now) {
        Transition<RouterState, RouterAction> decided = router.handle(state.router(), event, now);
        List<RouterProcessAction.FromRouter> actions = decided.actions().stream()
                .map(RouterProcessAction.FromRouter::new)
                .toList();
        Transition<RouterProcessState, RouterProcessAction> next =
                Transition.<RouterProcessState, RouterProcessAction>to(state.with(decided.state()))
                        .thenAll(actions);
        boolean due = event instanceof RouterEvent.Tick
                && Duration.between(state.lastRolloutTick(), now).compareTo(ROLLOUT_INTERVAL) >= 0;
        return due ? next.and(ticked -> tickRollout(ticked, now)) : next;
    }

    private Transition<RouterProcessState, RouterProcessAction> tickRollout(RouterProcessState state, Instant now) {
        RouterState routerState = state.router();
        RolloutEvent inputs =
                new RolloutEvent.InputsUpdated(routerState.rules(), routerState.evidence(), routerState.moveRegistry());
        return handleRollout(state.withRolloutTick(now), inputs, now)
                .and(next -> handleRollout(next, new RolloutEvent.Tick(), now));
    }

    private Transition<RouterProcessState, RouterProcessAction> handleRollout(
            RouterProcessState state, RolloutEvent event, Instant now) {
        Transition<RolloutState, RolloutAction> decided = rollout.handle(state.rollout(), event, now);
        return Transition.<RouterProcessState, RouterProcessAction>to(state.with(decided.state()))
                .forEach(
                        decided.actions().stream(),
                        (next, action) -> Transition.<RouterProcessState, RouterProcessAction>to(next)
                                .then(new RouterProcessAction.FromRollout(action))
                                .and(handled -> forwardToRouter(handled, action, now)));
    }

    private Transition<RouterProcessState, RouterProcessAction> forwardToRouter(
            RouterProcessState state, RolloutAction action, Instant now) {
        if (action instanceof RolloutAction.AnnounceStep announce) {
            return handleRouter(state, new RouterEvent.MovesUpdated(List.of(announce.step()), List.of()), now);
        }
        if (action instanceof RolloutAction.AnnounceSuspension announce) {
            return handleRouter(state, new RouterEvent.MovesUpdated(List.of(), List.of(announce.suspension())), now);
        }
        return Transition.to(state);
    }
}
