package org.sassafrastrail.gate;

import java.time.Instant;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;

/** The decisions of a gateway. */
public final class GatewayCore implements DecisionCore<GatewayState, GatewayEvent, GatewayAction> {

    private final EventRouter<GatewayState, GatewayEvent, GatewayAction> handlers;

    /**
     * Makes the core.
     *
     * @param limits the limits by which it decides
     */
    public GatewayCore(GatewayLimits limits) {
        Scheduler scheduler = new Scheduler(limits, new PromptPlacement(limits), new LeastRunningPlacement());
        CallHandler calls = new CallHandler(limits, scheduler);
        AttemptHandler attempts = new AttemptHandler(limits, calls, scheduler);
        BeliefHandler beliefs = new BeliefHandler(scheduler);
        TimeHandler time = new TimeHandler(limits, calls, scheduler);
        this.handlers = EventRouter.<GatewayState, GatewayEvent, GatewayAction>over(GatewayEvent.class)
                .on(GatewayEvent.CallArrived.class, calls::arrived)
                .on(GatewayEvent.CallerDisconnected.class, calls::left)
                .on(GatewayEvent.ResponseStarted.class, attempts::began)
                .on(GatewayEvent.AttemptEnded.class, attempts::ended)
                .on(GatewayEvent.ConfigurationReceived.class, beliefs::routes)
                .on(GatewayEvent.UpstreamsChanged.class, beliefs::upstreams)
                .on(GatewayEvent.DomainsOutChanged.class, beliefs::domains)
                .on(GatewayEvent.GatewayCountChanged.class, beliefs::gateways)
                .on(GatewayEvent.PeerConnected.class, beliefs::peerLinked)
                .on(GatewayEvent.PeerReportReceived.class, beliefs::peerReported)
                .on(GatewayEvent.PeerDisconnected.class, beliefs::peerLost)
                .on(GatewayEvent.Ticked.class, time::ticked)
                .on(GatewayEvent.StopRequested.class, time::stop)
                .complete();
    }

    @Override
    public Transition<GatewayState, GatewayAction> handle(GatewayState state, GatewayEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }
}
