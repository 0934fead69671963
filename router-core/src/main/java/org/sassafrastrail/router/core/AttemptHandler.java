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
 * Decides what follows from an attempt's outcome. A request that may not be repeated gets another attempt only after the
 * sidecar has said that the last one did not run.
 */
final class AttemptHandler {

    private final RouterTimings timings;

    AttemptHandler(RouterTimings timings) {
        this.timings = timings;
    }

    Transition<RouterState, RouterAction> started(RouterState state, RouterEvent.ResponseStarted event, Instant now) {
        return current(state, event.attempt())
                .map(running -> Transition.<RouterState, RouterAction>stay(put(state, running.answered())))
                .orElse(Transition.stay(state));
    }

    Transition<RouterState, RouterAction> ended(RouterState state, RouterEvent.AttemptEnded event, Instant now) {
        return current(state, event.attempt())
                .map(running -> settle(state, running, event.outcome(), now))
                .orElse(Transition.stay(state));
    }

    /** No answer can come any more, so only the sidecar can tell what became of the attempt. */
    Transition<RouterState, RouterAction> lost(
            RouterState state, RouterEvent.AttemptConnectionLost event, Instant now) {
        return current(state, event.attempt())
                .map(running -> ask(state, running.disconnected(), now))
                .orElse(Transition.stay(state));
    }

    /** A sidecar has been silent for too long. An attempt that may be repeated goes elsewhere; else the router asks. */
    Transition<RouterState, RouterAction> silent(RouterState state, RunningRequest running, Instant now) {
        Transition<RouterState, RouterAction> asked = ask(state, running, now);
        return isRepeatable(running) ? asked.then(new RouterAction.Abandon(running.attempt())) : asked;
    }

    /** The sidecar answered what became of an attempt. */
    Transition<RouterState, RouterAction> reported(RouterState state, AttemptReport report, Instant now) {
        Optional<RunningRequest> running = current(state, report.attempt())
                .filter(candidate -> candidate.questionEnds().isPresent());
        return running.map(asked -> reported(state, asked, report.state(), now)).orElse(Transition.stay(state));
    }

    private Transition<RouterState, RouterAction> reported(
            RouterState state, RunningRequest running, AttemptReport.State report, Instant now) {
        if (!running.connected()) {
            return giveUp(state, running, outcome(report), now);
        }
        return switch (report) {
            case RUNNING -> Transition.stay(put(state, running.stillRunning(now)));
            case ENDED -> Transition.stay(state);
            default -> giveUp(state, running, outcome(report), now);
        };
    }

    /** A sidecar's life has ended; questions to it will never be answered. */
    Transition<RouterState, RouterAction> lifeEnded(RouterState state, RunningRequest running, Instant now) {
        return giveUp(state, running, new AttemptOutcome.Unknown(UnknownReason.SIDECAR_RESTARTED), now);
    }

    /** Nobody answered the question in time. */
    Transition<RouterState, RouterAction> questionEnded(RouterState state, RunningRequest running, Instant now) {
        return giveUp(state, running, new AttemptOutcome.Unknown(UnknownReason.SIDECAR_SILENT), now);
    }

    private Transition<RouterState, RouterAction> giveUp(
            RouterState state, RunningRequest running, AttemptOutcome outcome, Instant now) {
        Transition<RouterState, RouterAction> settled = settle(state, running, outcome, now);
        return running.connected() ? settled.then(new RouterAction.Abandon(running.attempt())) : settled;
    }

    private Transition<RouterState, RouterAction> ask(RouterState state, RunningRequest running, Instant now) {
        if (isRepeatable(running)) {
            return settle(state, running, new AttemptOutcome.Unknown(UnknownReason.SIDECAR_SILENT), now);
        }
        if (running.questionEnds().isPresent()) {
            return Transition.stay(put(state, running));
        }
        RunningRequest asked = running.questioned(now.plus(timings.question()));
        return Transition.<RouterState, RouterAction>stay(put(state, asked)).then(question(asked));
    }

    private static boolean isRepeatable(RunningRequest running) {
        return running.waiting().request().idempotent();
    }

    RouterAction question(RunningRequest running) {
        return new RouterAction.SendMessage(running.sidecar(), new AttemptQuery(running.attempt(), running.grant()));
    }

    private Transition<RouterState, RouterAction> settle(
            RouterState state, RunningRequest running, AttemptOutcome outcome, Instant now) {
        RouterRequest request = running.waiting().request();
        RouterState rest = state.withRunning(state.running().minus(request.identifier()));
        if (outcome instanceof AttemptOutcome.NotRun notRun) {
            return notRun(rest, running, now);
        }
        if (outcome instanceof AttemptOutcome.UpstreamFailed failed) {
            return request.idempotent()
                    ? retry(rest, running, RetryReason.UPSTREAM_FAILED, answerFailed(running, failed.status()), now)
                    : Transition.<RouterState, RouterAction>stay(rest).then(answerFailed(running, failed.status()));
        }
        if (outcome instanceof AttemptOutcome.Unknown unknown) {
            RouterAction answer = new RouterAction.RespondOutcomeUnknown(request.identifier(), unknown.reason());
            return request.idempotent()
                    ? retry(rest, running, RetryReason.OUTCOME_UNKNOWN, answer, now)
                    : Transition.<RouterState, RouterAction>stay(rest).then(answer);
        }
        return Transition.<RouterState, RouterAction>stay(rest).then(new RouterAction.RequestFinished(request));
    }

    private Transition<RouterState, RouterAction> notRun(RouterState state, RunningRequest running, Instant now) {
        RouterRequest request = running.waiting().request();
        RouterAction refusal = new RouterAction.Refuse(request.identifier(), RefusalReason.RETRY_BUDGET_SPENT);
        Transition<RouterState, RouterAction> again = retry(state, running, RetryReason.NOT_RUN, refusal, now);
        return again.actions().contains(refusal) ? again.thenAll(Refusals.release(request)) : again;
    }

    private Transition<RouterState, RouterAction> retry(
            RouterState state, RunningRequest running, RetryReason reason, RouterAction otherwise, Instant now) {
        AttemptIdentifier attempt = running.attempt();
        Optional<Duration> wait =
                running.answering() ? Optional.empty() : state.retries().again(attempt, reason);
        if (wait.isEmpty()) {
            return Transition.<RouterState, RouterAction>stay(state).then(otherwise);
        }
        WaitingRequest waiting = running.waiting().avoiding(running.sidecar()).again(now.plus(wait.get()));
        RouterState next = state.with(state.queues().plusTried(waiting))
                .with(state.retries().spent(reason));
        return Transition.<RouterState, RouterAction>stay(next)
                .then(new RouterAction.RetryScheduled(attempt, reason, wait.get()));
    }

    private static RouterAction answerFailed(RunningRequest running, int status) {
        return new RouterAction.RespondUpstreamFailed(
                running.waiting().request().identifier(), status);
    }

    private static AttemptOutcome outcome(AttemptReport.State state) {
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

    private static RouterState put(RouterState state, RunningRequest running) {
        return state.withRunning(
                state.running().plus(running.waiting().request().identifier(), running));
    }
}
