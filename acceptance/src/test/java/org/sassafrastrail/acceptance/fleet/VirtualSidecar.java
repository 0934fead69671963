package org.sassafrastrail.acceptance.fleet;

import java.util.HashMap;
import java.util.Map;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.CorrectedHintEstimator;
import org.sassafrastrail.fairness.FairnessPolicy;
import org.sassafrastrail.fairness.MeanCostEstimator;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.AttemptOutcome;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UnknownReason;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.sidecar.core.ConcurrencyLimit;
import org.sassafrastrail.sidecar.core.SidecarAction;
import org.sassafrastrail.sidecar.core.SidecarCore;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.SidecarIdentity;
import org.sassafrastrail.sidecar.core.SidecarState;
import org.sassafrastrail.sidecar.core.SidecarTimings;
import org.sassafrastrail.sidecar.core.UpstreamOutcome;

/** Simulates a sidecar process in memory by driving its core. */
public final class VirtualSidecar {

    private static final long INITIAL_ESTIMATE_TOKENS = 50;

    private final VirtualFleet fleet;
    private final String name;
    private final String version;
    private final String domain;
    private final FairnessPolicy policy;
    private final SidecarTimings timings;
    private final ConcurrencyLimit initialLimit;
    private final VirtualEngine engine;
    private final Map<GrantIdentifier, VirtualRouter> routersByGrant = new HashMap<>();
    private final Map<GrantIdentifier, AttemptIdentifier> attemptsByGrant = new HashMap<>();
    private SidecarCore core;
    private SidecarState state;
    private Incarnation incarnation = new Incarnation(1);
    private boolean frozen;

    VirtualSidecar(
            VirtualFleet fleet,
            String name,
            String version,
            String domain,
            FairnessPolicy policy,
            SidecarTimings timings,
            ConcurrencyLimit initialLimit) {
        this.fleet = fleet;
        this.name = name;
        this.version = version;
        this.domain = domain;
        this.policy = policy;
        this.timings = timings;
        this.initialLimit = initialLimit;
        this.engine = new VirtualEngine(fleet, fleet.timePerToken());
        startCore();
    }

    private void startCore() {
        core = new SidecarCore(new SidecarIdentity(node(), incarnation, profile()), policy, timings);
        state = SidecarState.start(
                initialLimit,
                new CorrectedHintEstimator(new MeanCostEstimator(INITIAL_ESTIMATE_TOKENS)),
                fleet.time().now());
    }

    public NodeName node() {
        return new NodeName(name);
    }

    public Incarnation incarnation() {
        return incarnation;
    }

    public UpstreamProfile profile() {
        return new UpstreamProfile(
                new TargetName(VirtualFleet.TARGET), new VersionName(version), new FailureDomainName(domain));
    }

    public VirtualEngine engine() {
        return engine;
    }

    public SidecarState state() {
        return state;
    }

    /** Restarts with empty memory and a new incarnation, while its upstream keeps running. */
    public void restart() {
        fleet.disconnectAll(this);
        incarnation = new Incarnation(incarnation.value() + 1);
        startCore();
        engine.reportLoad(this);
        fleet.connectAll(this);
    }

    /**
     * Freezes or thaws the sidecar, like a process that is stopped and continued. Events that arrive in between are
     * handled after the thaw.
     */
    public void setFrozen(boolean value) {
        frozen = value;
        if (!value) {
            fleet.runDeferred(this);
        }
    }

    public boolean isFrozen() {
        return frozen;
    }

    public void post(SidecarEvent event) {
        if (frozen) {
            fleet.defer(this, () -> post(event));
            return;
        }
        fleet.transcript().event(fleet.time().now(), node(), event);
        Transition<SidecarState, SidecarAction> transition =
                core.handle(state, event, fleet.time().now());
        state = transition.state();
        transition.actions().forEach(this::execute);
    }

    void receiveDispatch(VirtualRouter router, SidecarEvent.DispatchArrived event) {
        routersByGrant.put(event.grant(), router);
        attemptsByGrant.put(event.grant(), event.attempt());
        post(event);
    }

    private void execute(SidecarAction action) {
        fleet.transcript().action(fleet.time().now(), node(), action);
        if (action instanceof SidecarAction.SendMessage send) {
            sendMessage(send.router(), send.message());
        } else if (action instanceof SidecarAction.BeginAttempt begin) {
            engine.start(this, begin.attempt(), begin.grant());
        } else if (action instanceof SidecarAction.DeclineAttempt decline) {
            fleet.increment("declined " + decline.reason());
            sendOutcome(decline.grant(), new AttemptOutcome.NotRun(decline.reason()));
        } else if (action instanceof SidecarAction.GrantExpired) {
            fleet.increment("expired");
        }
    }

    void upstreamEnded(GrantIdentifier grant, UpstreamOutcome outcome) {
        post(new SidecarEvent.AttemptEnded(grant, outcome));
        if (outcome instanceof UpstreamOutcome.Completed answered && answered.status() < 500) {
            sendOutcome(grant, new AttemptOutcome.Completed(answered.status(), answered.cost(), answered.firstByte()));
        } else if (outcome instanceof UpstreamOutcome.Completed answered) {
            sendOutcome(grant, new AttemptOutcome.UpstreamFailed(answered.status()));
        } else {
            sendOutcome(grant, new AttemptOutcome.Unknown(UnknownReason.UPSTREAM_CONNECTION_LOST));
        }
    }

    private void sendOutcome(GrantIdentifier grant, AttemptOutcome outcome) {
        VirtualRouter router = routersByGrant.remove(grant);
        AttemptIdentifier attempt = attemptsByGrant.remove(grant);
        fleet.deliverOverLink(router, this, () -> router.post(new RouterEvent.AttemptEnded(attempt, outcome)));
    }

    private void sendMessage(NodeName router, Message message) {
        fleet.sendToRouter(this, router, message);
    }
}
