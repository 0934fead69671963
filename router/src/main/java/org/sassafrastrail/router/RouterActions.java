package org.sassafrastrail.router;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.sassafrastrail.http.Problem;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.rollout.RolloutAction;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterProcessAction;
import org.sassafrastrail.runtime.ActionExecutor;
import org.sassafrastrail.runtime.TrafficThreads;

/** Carries out what the cores of this process decided. */
final class RouterActions implements ActionExecutor<RouterProcessAction> {

    private final PendingCalls calls;
    private final Dispatcher dispatcher;
    private final SidecarLinks links;
    private final PlatformWork platform;
    private final TrafficThreads threads;
    private final RouterReports reports;
    private final CountDownLatch drained;

    RouterActions(
            PendingCalls calls,
            Dispatcher dispatcher,
            SidecarLinks links,
            PlatformWork platform,
            TrafficThreads threads,
            RouterReports reports,
            CountDownLatch drained) {
        this.calls = calls;
        this.dispatcher = dispatcher;
        this.links = links;
        this.platform = platform;
        this.threads = threads;
        this.reports = reports;
        this.drained = drained;
    }

    @Override
    public void carryOut(RouterProcessAction action) {
        if (action instanceof RouterProcessAction.FromRollout rollout) {
            carryOut(rollout.action());
            return;
        }
        RouterAction wanted = ((RouterProcessAction.FromRouter) action).action();
        on(wanted, RouterAction.Dispatch.class, this::dispatch);
        on(wanted, RouterAction.Refuse.class, this::refuse);
        on(wanted, RouterAction.RespondOutcomeUnknown.class, this::answerUnknown);
        on(wanted, RouterAction.RespondUpstreamFailed.class, this::answerFailed);
        on(wanted, RouterAction.Abandon.class, abandon -> dispatcher.abandon(abandon.attempt()));
        on(wanted, RouterAction.RequestQueued.class, reports::queued);
        on(wanted, RouterAction.RetryScheduled.class, reports::retried);
        on(wanted, RouterAction.RequestFinished.class, reports::finished);
        on(wanted, RouterAction.ClaimIdempotencyKey.class, platform::claim);
        on(wanted, RouterAction.ReleaseIdempotencyKey.class, platform::release);
        on(wanted, RouterAction.SendMessage.class, tell -> links.tell(tell.sidecar(), tell.message()));
        on(wanted, RouterAction.GrantReturned.class, reports::returned);
        on(wanted, RouterAction.ConfigurationAdopted.class, reports::adopted);
        on(wanted, RouterAction.VersionSuspended.class, reports::suspended);
        on(wanted, RouterAction.ReadRules.class, read -> platform.readRules());
        on(wanted, RouterAction.Drained.class, done -> drained.countDown());
    }

    private void carryOut(RolloutAction action) {
        if (action instanceof RolloutAction.Announce announce) {
            reports.stepped(announce);
        }
        platform.carryOut(action);
    }

    private static <A extends RouterAction> void on(RouterAction action, Class<A> kind, Consumer<A> work) {
        if (kind.isInstance(action)) {
            work.accept(kind.cast(action));
        }
    }

    private void dispatch(RouterAction.Dispatch dispatch) {
        reports.dispatched(dispatch);
        dispatcher.dispatch(dispatch);
    }

    private void refuse(RouterAction.Refuse refuse) {
        reports.refused(refuse.request(), refuse.reason());
        answer(refuse.request(), Problems.refused(refuse.request(), refuse.reason()));
    }

    private void answerUnknown(RouterAction.RespondOutcomeUnknown unknown) {
        reports.unknown(unknown);
        answer(unknown.request(), Problems.unknown(unknown.request(), unknown.reason()));
    }

    private void answerFailed(RouterAction.RespondUpstreamFailed failed) {
        reports.failed(failed);
        answer(failed.request(), Problems.failed(failed.request(), failed.status()));
    }

    private void answer(RequestIdentifier request, Problem problem) {
        calls.remove(request)
                .filter(PendingCall::claim)
                .ifPresent(call -> threads.run(() -> problem.send(call.exchange())));
    }
}
