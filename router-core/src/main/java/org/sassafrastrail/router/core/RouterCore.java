package org.sassafrastrail.router.core;

import java.time.Instant;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.rollout.RegressionDetector;

/** The decisions of a router. Passes each event to the handler for its type. */
public final class RouterCore implements DecisionCore<RouterState, RouterEvent, RouterAction> {

    private final DecisionCore<RouterState, RouterEvent, RouterAction> handlers;

    /**
     * Creates the core.
     *
     * @param timings the router's intervals and timeouts
     * @param detector detects regressions of new versions
     */
    public RouterCore(RouterTimings timings, RegressionDetector detector) {
        Eligibility eligibility = new Eligibility();
        DemandReporter demand = new DemandReporter(eligibility);
        ArrivalHandler arrivals = new ArrivalHandler(demand, timings);
        AttemptHandler attempts = new AttemptHandler(timings);
        ConfigurationHandler configuration = new ConfigurationHandler();
        MoveHandler moves = new MoveHandler(detector);
        LinkHandler links = new LinkHandler(new GrantHandler(eligibility), attempts, configuration, moves);
        TickHandler ticks = new TickHandler(demand, attempts, timings);
        this.handlers = EventRouter.<RouterState, RouterEvent, RouterAction>over(RouterEvent.class)
                .on(RouterEvent.RequestArrived.class, arrivals::arrived)
                .on(RouterEvent.CallerDisconnected.class, arrivals::callerDisconnected)
                .on(RouterEvent.IdempotencyClaimCompleted.class, arrivals::claimCompleted)
                .on(RouterEvent.ResponseStarted.class, attempts::responseStarted)
                .on(RouterEvent.AttemptEnded.class, attempts::ended)
                .on(RouterEvent.AttemptConnectionLost.class, attempts::connectionLost)
                .on(RouterEvent.SidecarConnected.class, links::connected)
                .on(RouterEvent.SidecarDisconnected.class, links::disconnected)
                .on(RouterEvent.SidecarMessageReceived.class, links::messageReceived)
                .on(RouterEvent.VmsLeaving.class, links::leaving)
                .on(
                        RouterEvent.RulesRead.class,
                        (state, event, now) -> configuration.documentReceived(state, event.document()))
                .on(
                        RouterEvent.PlatformUnavailable.class,
                        (state, event, now) -> configuration.platformUnavailable(state))
                .on(
                        RouterEvent.MovesUpdated.class,
                        (state, event, now) -> moves.updated(state, event.steps(), event.suspensions()))
                .on(RouterEvent.StopRequested.class, (state, event, now) -> stop(state))
                .on(RouterEvent.Tick.class, (state, event, now) -> ticks.tick(state, now))
                .complete();
    }

    @Override
    public Transition<RouterState, RouterAction> handle(RouterState state, RouterEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }

    private static Transition<RouterState, RouterAction> stop(RouterState state) {
        return Transition.to(state.with(state.lifecycle().withStopping()));
    }
}
