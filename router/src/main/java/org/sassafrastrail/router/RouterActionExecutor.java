package org.sassafrastrail.router;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.sassafrastrail.http.Problem;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.rollout.RolloutAction;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterProcessAction;
import org.sassafrastrail.runtime.ActionExecutor;
import org.sassafrastrail.runtime.TrafficThreadPool;

/** Carries out the actions of the router and the rollout controller. */
final class RouterActionExecutor implements ActionExecutor<RouterProcessAction> {

    private final PendingCalls calls;
    private final Dispatcher dispatcher;
    private final SidecarLinks links;
    private final PlatformClient platform;
    private final TrafficThreadPool threads;
    private final RouterTelemetry telemetry;
    private final CountDownLatch drained;

    RouterActionExecutor(
            PendingCalls calls,
            Dispatcher dispatcher,
            SidecarLinks links,
            PlatformClient platform,
            TrafficThreadPool threads,
            RouterTelemetry telemetry,
            CountDownLatch drained) {
        this.calls = calls;
        this.dispatcher = dispatcher;
        this.links = links;
        this.platform = platform;
        this.threads = threads;
        this.telemetry = telemetry;
        this.drained = drained;
    }

    @Override
    public void execute(RouterProcessAction action) {
        if (action instanceof RouterProcessAction.FromRollout rollout) {
            execute(rollout.action());
            return;
        }
        RouterAction routerAction = ((RouterProcessAction.FromRouter) action).action();
        on(routerAction, RouterAction.Dispatch.class, this::dispatch);
        on(routerAction, RouterAction.Refuse.class, this::refuse);
        on(routerAction, RouterAction.RespondOutcomeUnknown.class, this::respondOutcomeUnknown);
        on(routerAction, RouterAction.RespondUpstreamFailed.class, this::respondUpstreamFailed);
        on(routerAction, RouterAction.CancelAttempt.class, cancel -> dispatcher.cancel(cancel.attempt()));
        on(routerAction, RouterAction.RequestQueued.class, telemetry::queued);
        on(routerAction, RouterAction.RetryScheduled.class, telemetry::retryScheduled);
        on(routerAction, RouterAction.RequestFinished.class, telemetry::finished);
        on(routerAction, RouterAction.ClaimIdempotencyKey.class, platform::claim);
        on(routerAction, RouterAction.ReleaseIdempotencyKey.class, platform::release);
        on(routerAction, RouterAction.SendMessage.class, send -> links.send(send.sidecar(), send.message()));
        on(routerAction, RouterAction.GrantReturned.class, telemetry::grantReturned);
        on(routerAction, RouterAction.ConfigurationAdopted.class, telemetry::configurationAdopted);
        on(routerAction, RouterAction.VersionSuspended.class, telemetry::versionSuspended);
        on(routerAction, RouterAction.ReadRules.class, read -> platform.readRules());
        on(routerAction, RouterAction.Drained.class, done -> drained.countDown());
    }

    private void execute(RolloutAction action) {
        if (action instanceof RolloutAction.AnnounceStep announce) {
            telemetry.moveStepped(announce);
        }
        platform.execute(action);
    }

    private static <A extends RouterAction> void on(RouterAction action, Class<A> kind, Consumer<A> work) {
        if (kind.isInstance(action)) {
            work.accept(kind.cast(action));
        }
    }

    private void dispatch(RouterAction.Dispatch dispatch) {
        telemetry.dispatched(dispatch);
        dispatcher.dispatch(dispatch);
    }

    private void refuse(RouterAction.Refuse refuse) {
        telemetry.refused(refuse.request(), refuse.reason());
        respond(refuse.request(), Problems.refused(refuse.request(), refuse.reason()));
    }

    private void respondOutcomeUnknown(RouterAction.RespondOutcomeUnknown unknown) {
        telemetry.outcomeUnknown(unknown);
        respond(unknown.request(), Problems.unknown(unknown.request(), unknown.reason()));
    }

    private void respondUpstreamFailed(RouterAction.RespondUpstreamFailed failed) {
        telemetry.upstreamFailed(failed);
        respond(failed.request(), Problems.failed(failed.request(), failed.status()));
    }

    private void respond(RequestIdentifier request, Problem problem) {
        calls.remove(request)
                .filter(PendingCall::claim)
                .ifPresent(call -> threads.submit(() -> problem.send(call.exchange())));
    }
}
