package org.sassafrastrail.gate;

import java.time.Instant;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;

/** The decisions of a gateway. */
public final class GateCore implements DecisionCore<GateState, GateEvent, GateAction> {

    private final EventRouter<GateState, GateEvent, GateAction> handlers;

    /**
     * Makes the core.
     *
     * @param limits the limits by which it decides
     */
    public GateCore(GateLimits limits) {
        Scheduler scheduler = new Scheduler(limits, new PromptPlacement(limits), new LeastRunningPlacement());
        CallHandler calls = new CallHandler(limits, scheduler);
        AttemptHandler attempts = new AttemptHandler(limits, calls, scheduler);
        BeliefHandler beliefs = new BeliefHandler(scheduler);
        TimeHandler time = new TimeHandler(limits, calls, scheduler);
        this.handlers = EventRouter.<GateState, GateEvent, GateAction>over(GateEvent.class)
                .on(GateEvent.CallArrived.class, calls::arrived)
                .on(GateEvent.CallerLeft.class, calls::left)
                .on(GateEvent.AnswerBegan.class, attempts::began)
                .on(GateEvent.AttemptEnded.class, attempts::ended)
                .on(GateEvent.RoutesRead.class, beliefs::routes)
                .on(GateEvent.UpstreamsRead.class, beliefs::upstreams)
                .on(GateEvent.DomainsOutRead.class, beliefs::domains)
                .on(GateEvent.GatewaysCounted.class, beliefs::gateways)
                .on(GateEvent.PeerLinked.class, beliefs::peerLinked)
                .on(GateEvent.PeerReported.class, beliefs::peerReported)
                .on(GateEvent.PeerLost.class, beliefs::peerLost)
                .on(GateEvent.Ticked.class, time::ticked)
                .on(GateEvent.StopRequested.class, time::stop)
                .complete();
    }

    @Override
    public Transition<GateState, GateAction> handle(GateState state, GateEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }
}
