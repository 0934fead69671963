package org.sassafrastrail.acceptance.fleet;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.rollout.BaselineFaultDetector;
import org.sassafrastrail.router.core.BudgetedRetryPolicy;
import org.sassafrastrail.router.core.JitteredBackoff;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterCore;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterState;
import org.sassafrastrail.router.core.RouterTimings;
import org.sassafrastrail.sidecar.core.SidecarEvent;

/** A router core in memory. */
public final class VirtualRouter {

    private static final long SEED = 7;

    private final VirtualFleet fleet;
    private final String name;
    private final RouterCore core;
    private RouterState state;
    private boolean frozen;

    VirtualRouter(VirtualFleet fleet, String name, RouterTimings timings) {
        this.fleet = fleet;
        this.name = name;
        this.core = new RouterCore(timings, new BaselineFaultDetector());
        this.state = RouterState.start(
                new BudgetedRetryPolicy(new JitteredBackoff(SEED, java.time.Duration.ofMillis(50))),
                fleet.time().now());
    }

    public NodeName node() {
        return new NodeName(name);
    }

    public RouterState state() {
        return state;
    }

    public void freeze(boolean next) {
        frozen = next;
        if (!next) {
            fleet.thaw(this);
        }
    }

    public void post(RouterEvent event) {
        if (frozen) {
            fleet.keep(this, event);
            return;
        }
        Transition<RouterState, RouterAction> transition =
                core.handle(state, event, fleet.time().now());
        state = transition.state();
        transition.actions().forEach(this::carryOut);
    }

    private void carryOut(RouterAction action) {
        if (action instanceof RouterAction.Tell tell) {
            fleet.fromRouter(this, tell.sidecar(), tell.message());
        } else if (action instanceof RouterAction.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof RouterAction.Refuse refuse) {
            fleet.refused(refuse.request(), refuse.reason());
        } else if (action instanceof RouterAction.Finished finished) {
            fleet.finished(finished.request().identifier());
        } else if (action instanceof RouterAction.AnswerUnknown unknown) {
            fleet.ended(unknown.request(), "unknown " + unknown.reason());
        } else if (action instanceof RouterAction.AnswerFailed failed) {
            fleet.ended(failed.request(), "failed " + failed.status());
        } else if (action instanceof RouterAction.Returned returned) {
            fleet.count("returned " + returned.reason());
        } else if (action instanceof RouterAction.Retry retry) {
            fleet.count("retry " + retry.reason());
        } else if (action instanceof RouterAction.ReadRules) {
            fleet.readRules(this);
        } else if (action instanceof RouterAction.Suspended suspended) {
            fleet.count("suspended " + suspended.suspension().reason());
        }
    }

    private void dispatch(RouterAction.Dispatch dispatch) {
        fleet.count("dispatched");
        fleet.waited(dispatch.request());
        VirtualSidecar sidecar = fleet.sidecar(dispatch.grant().sidecar());
        SidecarEvent.DispatchArrived event = new SidecarEvent.DispatchArrived(
                dispatch.attempt(),
                dispatch.grant(),
                dispatch.request().hint(),
                dispatch.request().route());
        boolean sent = fleet.overLink(this, sidecar, () -> sidecar.dispatched(this, event));
        if (!sent) {
            fleet.later(() -> post(new RouterEvent.AttemptLost(dispatch.attempt())));
        }
    }
}
