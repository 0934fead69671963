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

/** The cores of a router's process in memory. */
public final class VirtualRouter {

    private static final long SEED = 7;
    private static final long LEAST_EVIDENCE = 10;
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration LONGEST_STEP = Duration.ofSeconds(10);
    private static final Duration LEASE = Duration.ofSeconds(5);

    private final VirtualFleet fleet;
    private final String name;
    private final RouterProcessCore core;
    private final MoveProgressStore moves;
    private ControllerLeaseStore leases;
    private RouterProcessState state;
    private long incarnation;
    private boolean frozen;

    VirtualRouter(VirtualFleet fleet, String name, RouterTimings timings) {
        this.fleet = fleet;
        this.name = name;
        this.core = new RouterProcessCore(
                new RouterCore(timings, new BaselineRegressionDetector()),
                new RolloutCore(
                        new PacedRolloutPolicy(LEAST_EVIDENCE, LONGEST_STEP), new BaselineRegressionDetector()));
        this.moves = new MoveProgressStore(fleet.table());
        startCore();
    }

    private void startCore() {
        incarnation++;
        leases = new ControllerLeaseStore(fleet.table(), node(), new Incarnation(incarnation), LEASE);
        RouterState router = RouterState.start(
                new BudgetedRetryPolicy(new JitteredBackoff(SEED, FIRST_BACKOFF)),
                fleet.time().now());
        state = RouterProcessState.start(router, fleet.time().now());
    }

    public NodeName node() {
        return new NodeName(name);
    }

    public RouterState state() {
        return state.router();
    }

    /** Whether this router holds the controller's lease, as far as it knows. */
    public boolean controls() {
        return state.rollout().lease().isPresent();
    }

    /** Loses its memory and starts anew. */
    public void restart() {
        fleet.disconnectAll(this);
        startCore();
        fleet.connectAll(this);
    }

    /** Stops or goes on handling events, like a frozen process. */
    public void freeze(boolean next) {
        frozen = next;
        if (!next) {
            fleet.thaw(this);
        }
    }

    public void post(RouterEvent event) {
        post(new RouterProcessEvent.ForRouter(event));
    }

    private void post(RouterProcessEvent event) {
        if (frozen) {
            fleet.keep(this, () -> post(event));
            return;
        }
        if (event instanceof RouterProcessEvent.ForRouter router) {
            fleet.log().event(fleet.time().now(), node(), router.event());
        }
        Transition<RouterProcessState, RouterProcessAction> transition =
                core.handle(state, event, fleet.time().now());
        state = transition.state();
        transition.actions().forEach(this::carryOut);
    }

    private void carryOut(RouterProcessAction action) {
        if (action instanceof RouterProcessAction.FromRouter router) {
            fleet.log().action(fleet.time().now(), node(), router.action());
            carryOut(router.action());
        } else {
            RolloutAction wanted = ((RouterProcessAction.FromRollout) action).action();
            fleet.later(() -> carryOut(wanted));
        }
    }

    private void carryOut(RolloutAction action) {
        if (frozen) {
            fleet.keep(this, () -> carryOut(action));
        } else if (action instanceof RolloutAction.AcquireLease) {
            seekLease();
        } else if (action instanceof RolloutAction.ReadStep read) {
            moves.read(read.move()).ifPresent(this::recorded);
        } else if (action instanceof RolloutAction.RecordStep step) {
            fleet.count("steps proposed");
            moves.compareAndSet(step.step(), step.rowVersion()).ifPresent(this::recorded);
        }
    }

    private void seekLease() {
        ControllerLeaseStore.AcquireResult seeking =
                leases.acquireOrRenew(fleet.time().now());
        if (seeking instanceof ControllerLeaseStore.AcquireResult.Held held) {
            ControllerLease lease = new ControllerLease(held.fencingToken(), held.expiresAt());
            post(new RouterProcessEvent.ForRollout(new RolloutEvent.LeaseHeld(lease)));
        }
        if (seeking instanceof ControllerLeaseStore.AcquireResult.HeldByOther) {
            post(new RouterProcessEvent.ForRollout(new RolloutEvent.LeaseHeldByOther()));
        }
    }

    private void recorded(MoveProgressStore.VersionedProgress recorded) {
        post(new RouterProcessEvent.ForRollout(
                new RolloutEvent.StepRowReceived(recorded.progress(), recorded.rowVersion())));
    }

    private void carryOut(RouterAction action) {
        if (action instanceof RouterAction.SendMessage tell) {
            fleet.fromRouter(this, tell.sidecar(), tell.message());
        } else if (action instanceof RouterAction.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof RouterAction.Refuse refuse) {
            fleet.ended(refuse.request(), "refused " + refuse.reason());
        } else if (action instanceof RouterAction.RequestFinished finished) {
            fleet.ended(finished.request().identifier(), "finished");
        } else if (action instanceof RouterAction.RespondOutcomeUnknown unknown) {
            fleet.ended(unknown.request(), "unknown " + unknown.reason());
        } else if (action instanceof RouterAction.RespondUpstreamFailed failed) {
            fleet.ended(failed.request(), "failed " + failed.status());
        } else if (action instanceof RouterAction.GrantReturned returned) {
            fleet.count("returned " + returned.reason());
        } else if (action instanceof RouterAction.RetryScheduled retry) {
            fleet.count("retry " + retry.reason());
        } else if (action instanceof RouterAction.ReadRules) {
            fleet.readRules(this);
        } else if (action instanceof RouterAction.VersionSuspended suspended) {
            fleet.count("suspended " + suspended.suspension().reason());
        }
    }

    private void dispatch(RouterAction.Dispatch dispatch) {
        VirtualSidecar sidecar = fleet.sidecar(dispatch.grant().sidecar());
        fleet.dispatched(dispatch.request(), sidecar);
        SidecarEvent.DispatchArrived event = new SidecarEvent.DispatchArrived(
                dispatch.attempt(),
                dispatch.grant(),
                dispatch.request().hint(),
                dispatch.request().route());
        boolean sent = fleet.overLink(this, sidecar, () -> sidecar.dispatched(this, event));
        if (!sent) {
            fleet.later(() -> post(new RouterEvent.AttemptConnectionLost(dispatch.attempt())));
        }
    }
}
