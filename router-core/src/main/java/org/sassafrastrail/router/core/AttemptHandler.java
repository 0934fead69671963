package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.AttemptOutcome;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RetryReason;
import org.sassafrastrail.model.UnknownReason;

/**
 * Decides whether a request is answered or retried after an attempt. A request that is not idempotent is retried only
 * if the sidecar reported that the last attempt did not run.
 */
final class AttemptHandler {

    private final RouterTimings timings;

    AttemptHandler(RouterTimings timings) {
        this.timings = timings;
    }

    Transition<RouterState, RouterAction> responseStarted(
            RouterState state, RouterEvent.ResponseStarted event, Instant now) {
        return current(state, event.attempt())
                .map(running -> Transition.<RouterState, RouterAction>to(updated(state, running.responseStarted())))
                .orElse(Transition.to(state));
    }

    Transition<RouterState, RouterAction> ended(RouterState state, RouterEvent.AttemptEnded event, Instant now) {
        return current(state, event.attempt())
                .map(running -> settle(state, running, event.outcome(), now))
                .orElse(Transition.to(state));
    }

    /**
     * Handles a lost connection, over which no response can arrive: queries the sidecar, or retries an idempotent
     * request.
     */
    Transition<RouterState, RouterAction> connectionLost(
            RouterState state, RouterEvent.AttemptConnectionLost event, Instant now) {
        return current(state, event.attempt())
                .map(running -> retryOrQuery(state, running.disconnected(), now))
                .orElse(Transition.to(state));
    }

    /**
     * Handles a sidecar timeout: cancels and retries an idempotent request; queries the state of any other attempt.
     */
    Transition<RouterState, RouterAction> sidecarTimedOut(RouterState state, RunningRequest running, Instant now) {
        Transition<RouterState, RouterAction> queried = retryOrQuery(state, running, now);
        return isIdempotent(running) ? queried.then(new RouterAction.CancelAttempt(running.attempt())) : queried;
    }

    /** Handles the reported state of an attempt, if it was queried. */
    Transition<RouterState, RouterAction> reported(RouterState state, AttemptReport report, Instant now) {
        Optional<RunningRequest> running = current(state, report.attempt())
                .filter(candidate -> candidate.queryDeadline().isPresent());
        return running.map(queried -> reported(state, queried, report.state(), now))
                .orElse(Transition.to(state));
    }

    private Transition<RouterState, RouterAction> reported(
            RouterState state, RunningRequest running, AttemptReport.State report, Instant now) {
        if (!running.connected()) {
            return settleAndCancel(state, running, outcomeOf(report), now);
        }
        return switch (report) {
            case RUNNING -> Transition.to(updated(state, running.stillRunning(now)));
            case ENDED -> Transition.to(state);
            default -> settleAndCancel(state, running, outcomeOf(report), now);
        };
    }

    /**
     * Handles a restart of the sidecar, after which it cannot report the state of attempts of an earlier incarnation.
     */
    Transition<RouterState, RouterAction> sidecarRestarted(RouterState state, RunningRequest running, Instant now) {
        return settleAndCancel(state, running, new AttemptOutcome.Unknown(UnknownReason.SIDECAR_RESTARTED), now);
    }

    /** Handles a query that the sidecar did not answer in time. */
    Transition<RouterState, RouterAction> queryTimedOut(RouterState state, RunningRequest running, Instant now) {
        return settleAndCancel(state, running, new AttemptOutcome.Unknown(UnknownReason.SIDECAR_SILENT), now);
    }

    private Transition<RouterState, RouterAction> settleAndCancel(
            RouterState state, RunningRequest running, AttemptOutcome outcome, Instant now) {
        Transition<RouterState, RouterAction> settled = settle(state, running, outcome, now);
        return running.connected() ? settled.then(new RouterAction.CancelAttempt(running.attempt())) : settled;
    }

    private Transition<RouterState, RouterAction> retryOrQuery(RouterState state, RunningRequest running, Instant now) {
        if (isIdempotent(running)) {
            return settle(state, running, new AttemptOutcome.Unknown(UnknownReason.SIDECAR_SILENT), now);
        }
        if (running.queryDeadline().isPresent()) {
            return Transition.to(updated(state, running));
        }
        RunningRequest queried = running.queried(now.plus(timings.queryTimeout()));
        return Transition.<RouterState, RouterAction>to(updated(state, queried)).then(query(queried));
    }

    private static boolean isIdempotent(RunningRequest running) {
        return running.queued().request().idempotent();
    }

    RouterAction query(RunningRequest running) {
        return new RouterAction.SendMessage(running.sidecar(), new AttemptQuery(running.attempt(), running.grant()));
    }

    private Transition<RouterState, RouterAction> settle(
            RouterState state, RunningRequest running, AttemptOutcome outcome, Instant now) {
        RouterRequest request = running.queued().request();
        RouterState rest = state.withRunning(state.running().minus(request.identifier()));
        if (outcome instanceof AttemptOutcome.NotRun notRun) {
            return retryOrRefuse(rest, running, now);
        }
        if (outcome instanceof AttemptOutcome.UpstreamFailed failed) {
            return request.idempotent()
                    ? retry(
                            rest,
                            running,
                            RetryReason.UPSTREAM_FAILED,
                            respondUpstreamFailed(running, failed.status()),
                            now)
                    : Transition.<RouterState, RouterAction>to(rest)
                            .then(respondUpstreamFailed(running, failed.status()));
        }
        if (outcome instanceof AttemptOutcome.Unknown unknown) {
            RouterAction response = new RouterAction.RespondOutcomeUnknown(request.identifier(), unknown.reason());
            return request.idempotent()
                    ? retry(rest, running, RetryReason.OUTCOME_UNKNOWN, response, now)
                    : Transition.<RouterState, RouterAction>to(rest).then(response);
        }
        return Transition.<RouterState, RouterAction>to(rest).then(new RouterAction.RequestFinished(request));
    }

    private Transition<RouterState, RouterAction> retryOrRefuse(
            RouterState state, RunningRequest running, Instant now) {
        RouterRequest request = running.queued().request();
        RouterAction refusal = new RouterAction.Refuse(request.identifier(), RefusalReason.RETRY_BUDGET_SPENT);
        Transition<RouterState, RouterAction> retried = retry(state, running, RetryReason.NOT_RUN, refusal, now);
        return retried.actions().contains(refusal) ? retried.thenAll(Refusals.releaseKey(request)) : retried;
    }

    private Transition<RouterState, RouterAction> retry(
            RouterState state, RunningRequest running, RetryReason reason, RouterAction fallback, Instant now) {
        AttemptIdentifier attempt = running.attempt();
        Optional<Duration> delay =
                running.responding() ? Optional.empty() : state.retryPolicy().retryDelay(attempt, reason);
        if (delay.isEmpty()) {
            return Transition.<RouterState, RouterAction>to(state).then(fallback);
        }
        QueuedRequest queued = running.queued().avoiding(running.sidecar()).withNotBefore(now.plus(delay.get()));
        RouterState next = state.with(state.queues().requeue(queued))
                .with(state.retryPolicy().withRetry(reason));
        return Transition.<RouterState, RouterAction>to(next)
                .then(new RouterAction.RetryScheduled(attempt, reason, delay.get()));
    }

    private static RouterAction respondUpstreamFailed(RunningRequest running, int status) {
        return new RouterAction.RespondUpstreamFailed(running.queued().request().identifier(), status);
    }

    private static AttemptOutcome outcomeOf(AttemptReport.State state) {
        return switch (state) {
            case NOT_BEGUN -> new AttemptOutcome.NotRun(NotRunReason.NEVER_ARRIVED);
            case RUNNING, ENDED -> new AttemptOutcome.Unknown(UnknownReason.UPSTREAM_CONNECTION_LOST);
            case FORGOTTEN -> new AttemptOutcome.Unknown(UnknownReason.SIDECAR_RESTARTED);
        };
    }

    private static Optional<RunningRequest> current(RouterState state, AttemptIdentifier attempt) {
        return Optional.ofNullable(state.running().get(attempt.request()))
                .filter(running -> running.attempt().equals(attempt));
    }

    private static RouterState updated(RouterState state, RunningRequest running) {
        return state.withRunning(state.running().plus(running.queued().request().identifier(), running));
    }
}
