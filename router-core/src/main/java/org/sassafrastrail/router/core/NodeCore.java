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
 * A router and the possible controller of version moves on one control thread. The controller learns what the router
 * knows with each of its ticks; the router learns of each recorded step and each suspension at once.
 */
public final class NodeCore implements DecisionCore<NodeState, NodeEvent, NodeAction> {

    private static final Duration ROLLOUT_INTERVAL = Duration.ofMillis(500);

    private final DecisionCore<RouterState, RouterEvent, RouterAction> router;
    private final DecisionCore<RolloutState, RolloutEvent, RolloutAction> rollout;
    private final DecisionCore<NodeState, NodeEvent, NodeAction> handlers;

    /**
     * Puts the cores together.
     *
     * @param router the router's decisions
     * @param rollout the controller's decisions
     */
    public NodeCore(
            DecisionCore<RouterState, RouterEvent, RouterAction> router,
            DecisionCore<RolloutState, RolloutEvent, RolloutAction> rollout) {
        this.router = router;
        this.rollout = rollout;
        this.handlers = EventRouter.<NodeState, NodeEvent, NodeAction>over(NodeEvent.class)
                .on(NodeEvent.OfRouter.class, (state, event, now) -> ofRouter(state, event.event(), now))
                .on(NodeEvent.OfRollout.class, (state, event, now) -> ofRollout(state, event.event(), now))
                .complete();
    }

    @Override
    public Transition<NodeState, NodeAction> handle(NodeState state, NodeEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }

    private Transition<NodeState, NodeAction> ofRouter(NodeState state, RouterEvent event, Instant now) {
        Transition<RouterState, RouterAction> decided = router.handle(state.router(), event, now);
        List<NodeAction.OfRouter> actions =
                decided.actions().stream().map(NodeAction.OfRouter::new).toList();
        Transition<NodeState, NodeAction> next = Transition.<NodeState, NodeAction>stay(state.with(decided.state()))
                .thenAll(actions);
        boolean due = event instanceof RouterEvent.Tick
                && Duration.between(state.lastRolloutTick(), now).compareTo(ROLLOUT_INTERVAL) >= 0;
        return due ? next.and(ticked -> rolloutTick(ticked, now)) : next;
    }

    private Transition<NodeState, NodeAction> rolloutTick(NodeState state, Instant now) {
        RouterState known = state.router();
        RolloutEvent knowledge = new RolloutEvent.InputsUpdated(known.rules(), known.evidence(), known.board());
        return ofRollout(state.rolloutTicked(now), knowledge, now)
                .and(next -> ofRollout(next, new RolloutEvent.Tick(), now));
    }

    private Transition<NodeState, NodeAction> ofRollout(NodeState state, RolloutEvent event, Instant now) {
        Transition<RolloutState, RolloutAction> decided = rollout.handle(state.rollout(), event, now);
        return Transition.<NodeState, NodeAction>stay(state.with(decided.state()))
                .forEach(decided.actions().stream(), (next, action) -> Transition.<NodeState, NodeAction>stay(next)
                        .then(new NodeAction.OfRollout(action))
                        .and(told -> inform(told, action, now)));
    }

    private Transition<NodeState, NodeAction> inform(NodeState state, RolloutAction action, Instant now) {
        if (action instanceof RolloutAction.AnnounceStep announce) {
            return ofRouter(state, new RouterEvent.MovesLearned(List.of(announce.step()), List.of()), now);
        }
        if (action instanceof RolloutAction.AnnounceSuspension suspend) {
            return ofRouter(state, new RouterEvent.MovesLearned(List.of(), List.of(suspend.suspension())), now);
        }
        return Transition.stay(state);
    }
}
