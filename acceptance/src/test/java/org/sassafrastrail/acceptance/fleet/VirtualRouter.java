package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.durable.ControllerLeaseStore;
import org.sassafrastrail.durable.MoveProgressStore;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.rollout.BaselineRegressionDetector;
import org.sassafrastrail.rollout.ControllerLease;
import org.sassafrastrail.rollout.PacedRolloutPolicy;
import org.sassafrastrail.rollout.RolloutAction;
import org.sassafrastrail.rollout.RolloutCore;
import org.sassafrastrail.rollout.RolloutEvent;
import org.sassafrastrail.router.core.BudgetedRetryPolicy;
import org.sassafrastrail.router.core.JitteredBackoff;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterCore;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterProcessAction;
import org.sassafrastrail.router.core.RouterProcessCore;
import org.sassafrastrail.router.core.RouterProcessEvent;
import org.sassafrastrail.router.core.RouterProcessState;
import org.sassafrastrail.router.core.RouterState;
import org.sassafrastrail.router.core.RouterTimings;
import org.sassafrastrail.sidecar.core.SidecarEvent;

/** Simulates a router process in memory by driving its cores. */
public final class VirtualRouter {

    private static final long SEED = 7;
    private static final long MINIMUM_EVIDENCE = 10;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAXIMUM_STEP_DURATION = Duration.ofSeconds(10);
    private static final Duration LEASE_DURATION = Duration.ofSeconds(5);

    private final VirtualFleet fleet;
    private final String name;
    private final RouterProcessCore core;
    private final MoveProgressStore moveProgress;
    private ControllerLeaseStore leaseStore;
    private RouterProcessState state;
    private long incarnation;
    private boolean frozen;

    VirtualRouter(VirtualFleet fleet, String name, RouterTimings timings) {
        this.fleet = fleet;
        this.name = name;
        this.core = new RouterProcessCore(
                new RouterCore(timings, new BaselineRegressionDetector()),
                new RolloutCore(
                        new PacedRolloutPolicy(MINIMUM_EVIDENCE, MAXIMUM_STEP_DURATION),
                        new BaselineRegressionDetector()));
        this.moveProgress = new MoveProgressStore(fleet.table());
        startCore();
    }

    private void startCore() {
        incarnation++;
        leaseStore = new ControllerLeaseStore(fleet.table(), node(), new Incarnation(incarnation), LEASE_DURATION);
        RouterState router = RouterState.start(
                new BudgetedRetryPolicy(new JitteredBackoff(SEED, INITIAL_BACKOFF)),
                fleet.time().now());
        state = RouterProcessState.start(router, fleet.time().now());
    }

    public NodeName node() {
        return new NodeName(name);
    }

    public RouterState state() {
        return state.router();
    }

    /** Returns whether this router holds the controller lease according to its own state, which may be out of date. */
    public boolean holdsControllerLease() {
        return state.rollout().lease().isPresent();
    }

    /** Restarts with empty memory. */
    public void restart() {
        fleet.disconnectAll(this);
        startCore();
        fleet.connectAll(this);
    }

    /** Freezes or thaws the router, like a process that is stopped and continued. */
    public void setFrozen(boolean value) {
        frozen = value;
        if (!value) {
            fleet.runDeferred(this);
        }
    }

    public void post(RouterEvent event) {
        post(new RouterProcessEvent.ForRouter(event));
    }

    private void post(RouterProcessEvent event) {
        if (frozen) {
            fleet.defer(this, () -> post(event));
            return;
        }
        if (event instanceof RouterProcessEvent.ForRouter router) {
            fleet.transcript().event(fleet.time().now(), node(), router.event());
        }
        Transition<RouterProcessState, RouterProcessAction> transition =
                core.handle(state, event, fleet.time().now());
        state = transition.state();
        transition.actions().forEach(this::execute);
    }

    private void execute(RouterProcessAction action) {
        if (action instanceof RouterProcessAction.FromRouter router) {
            fleet.transcript().action(fleet.time().now(), node(), router.action());
            execute(router.action());
        } else {
            RolloutAction rolloutAction = ((RouterProcessAction.FromRollout) action).action();
            fleet.afterLinkLatency(() -> execute(rolloutAction));
        }
    }

    private void execute(RolloutAction action) {
        if (frozen) {
            fleet.defer(this, () -> execute(action));
        } else if (action instanceof RolloutAction.AcquireLease) {
            acquireLease();
        } else if (action instanceof RolloutAction.ReadStep read) {
            moveProgress.read(read.move()).ifPresent(this::postRecordedProgress);
        } else if (action instanceof RolloutAction.RecordStep step) {
            fleet.increment("steps proposed");
            moveProgress.compareAndSet(step.step(), step.rowVersion()).ifPresent(this::postRecordedProgress);
        }
    }

    private void acquireLease() {
        ControllerLeaseStore.AcquireResult result =
                leaseStore.acquireOrRenew(fleet.time().now());
        if (result instanceof ControllerLeaseStore.AcquireResult.Held held) {
            ControllerLease lease = new ControllerLease(held.fencingToken(), held.expiresAt());
            post(new RouterProcessEvent.ForRollout(new RolloutEvent.LeaseHeld(lease)));
        }
        if (result instanceof ControllerLeaseStore.AcquireResult.HeldByOther) {
            post(new RouterProcessEvent.ForRollout(new RolloutEvent.LeaseHeldByOther()));
        }
    }

    private void postRecordedProgress(MoveProgressStore.VersionedProgress recorded) {
        post(new RouterProcessEvent.ForRollout(
                new RolloutEvent.StepRowReceived(recorded.progress(), recorded.rowVersion())));
    }

    private void execute(RouterAction action) {
        if (action instanceof RouterAction.SendMessage send) {
            fleet.sendToSidecar(this, send.sidecar(), send.message());
        } else if (action instanceof RouterAction.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof RouterAction.Refuse refuse) {
            fleet.requestEnded(refuse.request(), "refused " + refuse.reason());
        } else if (action instanceof RouterAction.RequestFinished finished) {
            fleet.requestEnded(finished.request().identifier(), "finished");
        } else if (action instanceof RouterAction.RespondOutcomeUnknown unknown) {
            fleet.requestEnded(unknown.request(), "unknown " + unknown.reason());
        } else if (action instanceof RouterAction.RespondUpstreamFailed failed) {
            fleet.requestEnded(failed.request(), "failed " + failed.status());
        } else if (action instanceof RouterAction.GrantReturned returned) {
            fleet.increment("returned " + returned.reason());
        } else if (action instanceof RouterAction.RetryScheduled retry) {
            fleet.increment("retry " + retry.reason());
        } else if (action instanceof RouterAction.ReadRules) {
            fleet.deliverRules(this);
        } else if (action instanceof RouterAction.VersionSuspended suspended) {
            fleet.increment("suspended " + suspended.suspension().reason());
        }
    }

    private void dispatch(RouterAction.Dispatch dispatch) {
        VirtualSidecar sidecar = fleet.sidecar(dispatch.grant().sidecar());
        fleet.requestDispatched(dispatch.request(), sidecar);
        SidecarEvent.DispatchArrived event = new SidecarEvent.DispatchArrived(
                dispatch.attempt(),
                dispatch.grant(),
                dispatch.request().hint(),
                dispatch.request().route());
        boolean sent = fleet.deliverOverLink(this, sidecar, () -> sidecar.receiveDispatch(this, event));
        if (!sent) {
            fleet.afterLinkLatency(() -> post(new RouterEvent.AttemptConnectionLost(dispatch.attempt())));
        }
    }
}
