package org.sassafrastrail.gate;

import java.time.Instant;

import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.EventRouter;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.crash.RecurringPartAttribution;

/** The decision core of a gateway: routing, admission, scheduling, placement, retries and upstream health. */
public final class GatewayCore implements DecisionCore<GatewayState, GatewayEvent, GatewayAction> {

    private final EventRouter<GatewayState, GatewayEvent, GatewayAction> handlers;

    /**
     * Creates the core.
     *
     * @param limits the limits for its decisions
     */
    public GatewayCore(GatewayLimits limits) {
        RateLimiter rateLimiter = new RateLimiter();
        Scheduler scheduler =
                new Scheduler(limits, rateLimiter, new CacheAffinityPlacement(limits), new LeastRequestPlacement());
        CallHandler calls = new CallHandler(limits, scheduler);
        CrashHandler crashes =
                new CrashHandler(limits, new RecurringPartAttribution(limits.minCrashesOfCause()), calls);
        AttemptHandler attempts = new AttemptHandler(limits, calls, scheduler);
        ClusterStateHandler clusterState = new ClusterStateHandler(limits, scheduler);
        PauseHandler pauses = new PauseHandler(calls);
        VersionMoveHandler versionMoves = new VersionMoveHandler();
        DrainNoticeHandler drainNotices = new DrainNoticeHandler();
        RateLimitHandler rateLimits = new RateLimitHandler(rateLimiter, calls, scheduler);
        CapacityHandler capacity = new CapacityHandler(limits);
        TickHandler ticks = new TickHandler(limits, calls, crashes, drainNotices, rateLimits, capacity, scheduler);
        this.handlers = EventRouter.<GatewayState, GatewayEvent, GatewayAction>over(GatewayEvent.class)
                .on(GatewayEvent.CallArrived.class, calls::callArrived)
                .on(GatewayEvent.CallerDisconnected.class, calls::callerDisconnected)
                .on(GatewayEvent.ResponseStarted.class, attempts::responseStarted)
                .on(GatewayEvent.AttemptEnded.class, attempts::attemptEnded)
                .on(GatewayEvent.ConfigurationReceived.class, clusterState::configurationReceived)
                .on(GatewayEvent.UpstreamsChanged.class, clusterState::upstreamsChanged)
                .on(GatewayEvent.DomainsOutChanged.class, clusterState::domainsOutChanged)
                .on(GatewayEvent.GatewaysChanged.class, clusterState::gatewaysChanged)
                .on(GatewayEvent.PeerConnected.class, clusterState::peerConnected)
                .on(GatewayEvent.PeerReportReceived.class, clusterState::peerReportReceived)
                .on(GatewayEvent.PeerCrashesReceived.class, crashes::peerCrashesReceived)
                .on(GatewayEvent.DrainNoticeReceived.class, drainNotices::noticeReceived)
                .on(GatewayEvent.PeerDrainNoticesReceived.class, drainNotices::peerNoticesReceived)
                .on(GatewayEvent.PauseRequested.class, pauses::pauseRequested)
                .on(GatewayEvent.RateLimitHeard.class, rateLimits::limitHeard)
                .on(GatewayEvent.PeerRateLimitsReceived.class, rateLimits::peerLimitsReceived)
                .on(GatewayEvent.PermitRequested.class, rateLimits::permitRequested)
                .on(GatewayEvent.PermitAnswered.class, rateLimits::permitAnswered)
                .on(GatewayEvent.PeerDisconnected.class, clusterState::peerDisconnected)
                .on(GatewayEvent.VersionMovesChanged.class, versionMoves::movesChanged)
                .on(GatewayEvent.VersionRejected.class, versionMoves::versionRejected)
                .on(GatewayEvent.LagMeasured.class, capacity::lagMeasured)
                .on(GatewayEvent.PeerDomainReceived.class, DomainHandler::peerDomainReceived)
                .on(GatewayEvent.PeerCapacityReceived.class, capacity::peerCapacityReceived)
                .on(GatewayEvent.Ticked.class, ticks::ticked)
                .on(GatewayEvent.StopRequested.class, ticks::stopRequested)
                .complete();
    }

    @Override
    public Transition<GatewayState, GatewayAction> handle(GatewayState state, GatewayEvent event, Instant now) {
        return handlers.handle(state, event, now);
    }
}
