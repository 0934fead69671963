package org.sassafrastrail.sidecar.core;

import java.time.Instant;
import java.util.List;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.FairnessPolicy;

/**
 * Decision core of a sidecar, composed of one handler for each kind of event. Free slots are offered after every event,
 * so that no capacity is idle while requests are queued.
 */
public final class SidecarCore implements DecisionCore<SidecarState, SidecarEvent, SidecarAction> {

    private final DecisionCore<SidecarState, SidecarEvent, SidecarAction> handlers;
    private final GrantScheduler grants;

    /**
     * Creates the core.
     *
     * @param identity the identity of this sidecar
     * @param policy selects the account that receives the next grant
     * @param timings the intervals and timeouts of the sidecar
     */
    public SidecarCore(SidecarIdentity identity, FairnessPolicy policy, SidecarTimings timings) {
        AccountLedger accounts = new AccountLedger(identity);
        DispatchHandler dispatches = new DispatchHandler(identity, accounts);
        LinkHandler links = new LinkHandler(identity, dispatches, accounts, timings);
        TickHandler ticks = new TickHandler(identity, dispatches, timings);
        this.grants = new GrantScheduler(identity, policy, accounts, timings);
        this.handlers = EventRouter.<SidecarState, SidecarEvent, SidecarAction>over(SidecarEvent.class)
                .on(SidecarEvent.RouterConnected.class, links::connected)
                .on(SidecarEvent.RouterDisconnected.class, links::disconnected)
                .on(SidecarEvent.RouterMessageReceived.class, links::messageReceived)
                .on(SidecarEvent.DispatchArrived.class, dispatches::dispatchArrived)
                .on(SidecarEvent.ResponseProgressed.class, dispatches::responseProgressed)
                .on(SidecarEvent.AttemptEnded.class, dispatches::attemptEnded)
                .on(SidecarEvent.LoadReported.class, SidecarCore::loadReported)
                .on(SidecarEvent.LoadUnavailable.class, (state, event, now) -> loadUnavailable(state, now))
                .on(SidecarEvent.StopRequested.class, (state, event, now) -> beginDrain(state))
                .on(SidecarEvent.Tick.class, (state, event, now) -> ticks.tick(state, now))
                .complete();
    }

    @Override
    public Transition<SidecarState, SidecarAction> handle(SidecarState state, SidecarEvent event, Instant now) {
        return handlers.handle(state, event, now).and(next -> grants.offerFreeSlots(next, now));
    }

    private static Transition<SidecarState, SidecarAction> loadReported(
            SidecarState state, SidecarEvent.LoadReported event, Instant now) {
        int before = state.upstream().limit().current();
        UpstreamView view =
                state.upstream().loadReported(event, state.work().running().size(), now);
        int after = view.limit().current();
        Transition<SidecarState, SidecarAction> next = Transition.to(state.with(view));
        return after < before ? next.then(new SidecarAction.UpstreamTurnedCold(after)) : next;
    }

    private static Transition<SidecarState, SidecarAction> loadUnavailable(SidecarState state, Instant now) {
        return Transition.to(state.with(state.upstream().loadReportMissed(now)));
    }

    private static Transition<SidecarState, SidecarAction> beginDrain(SidecarState state) {
        SidecarState draining = state.with(state.lifecycle().withStopping());
        return TickHandler.sendToAll(draining, List.of(TickHandler.heartbeat(draining)));
    }
}
