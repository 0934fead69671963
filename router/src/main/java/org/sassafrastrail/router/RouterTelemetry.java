package org.sassafrastrail.router;

import java.time.Clock;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.rollout.RolloutAction;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;

/** Records the decisions of the router in metrics, the log and the request traces. */
final class RouterTelemetry {

    private final Metrics metrics;
    private final EventLog log;
    private final RequestTraces traces;
    private final Clock clock;

    RouterTelemetry(Metrics metrics, EventLog log, RequestTraces traces, Clock clock) {
        this.metrics = metrics;
        this.log = log;
        this.traces = traces;
        this.clock = clock;
    }

    EventLog log() {
        return log;
    }

    Metrics metrics() {
        return metrics;
    }

    void refused(RequestIdentifier request, RefusalReason reason) {
        metrics.count("refusals", reason);
        traces.add(request, "refused", "reason=" + reason);
        log.info("request-refused", LogField.of("request", request), LogField.of("reason", reason));
    }

    void queued(RouterAction.RequestQueued action) {
        traces.add(
                action.request().identifier(),
                "queued",
                "account=" + action.request().account() + " target="
                        + action.request().target());
        log.debug(
                "request-queued",
                LogField.of("request", action.request().identifier()),
                LogField.of("account", action.request().account()),
                LogField.of("target", action.request().target()));
    }

    void dispatched(RouterAction.Dispatch action) {
        metrics.count("dispatches", 1);
        metrics.recordDuration(
                "wait",
                action.request().account().toString(),
                action.request().age(clock.instant()).toNanos());
        traces.add(
                action.attempt().request(),
                "dispatched",
                "attempt=" + action.attempt().number() + " sidecar="
                        + action.grant().sidecar());
        log.debug(
                "request-dispatched",
                LogField.of("request", action.attempt().request()),
                LogField.of("account", action.request().account()),
                LogField.of("attempt", action.attempt().number()),
                LogField.of("sidecar", action.grant().sidecar()));
    }

    void retryScheduled(RouterAction.RetryScheduled action) {
        metrics.count("retries", action.reason());
        traces.add(
                action.attempt().request(),
                "to-be-tried-again",
                "reason=" + action.reason() + " delay-ms=" + action.delay().toMillis());
        log.info(
                "request-retried",
                LogField.of("request", action.attempt().request()),
                LogField.of("attempt", action.attempt().number()),
                LogField.of("reason", action.reason()));
    }

    void outcomeUnknown(RouterAction.RespondOutcomeUnknown action) {
        metrics.count("outcomes-unknown", action.reason());
        traces.add(action.request(), "outcome-unknown", "reason=" + action.reason());
        log.warn("outcome-unknown", LogField.of("request", action.request()), LogField.of("reason", action.reason()));
    }

    void upstreamFailed(RouterAction.RespondUpstreamFailed action) {
        metrics.count("upstream-failures", 1);
        traces.add(action.request(), "failed", "status=" + action.status());
        log.info("request-failed", LogField.of("request", action.request()), LogField.of("status", action.status()));
    }

    void finished(RouterAction.RequestFinished action) {
        metrics.count("requests-finished", 1);
        traces.add(
                action.request().identifier(),
                "finished",
                "account=" + action.request().account());
        log.info(
                "request-finished",
                LogField.of("request", action.request().identifier()),
                LogField.of("account", action.request().account()),
                LogField.of("target", action.request().target()));
    }

    void grantReturned(RouterAction.GrantReturned action) {
        metrics.count("grants-returned", action.reason());
    }

    void configurationAdopted(RouterAction.ConfigurationAdopted action) {
        log.info(
                "configuration-adopted",
                LogField.of("revision", action.document().revision().value()),
                LogField.of("changed-by", action.document().changedBy()));
    }

    void versionSuspended(RouterAction.VersionSuspended action) {
        metrics.count("suspensions", action.suspension().reason());
        log.warn(
                "version-suspended",
                LogField.of("move", action.suspension().move().label()),
                LogField.of("reason", action.suspension().reason()));
    }

    void moveStepped(RolloutAction.AnnounceStep action) {
        MoveProgress step = action.step();
        metrics.count("move-steps", step.verdict());
        log.info(
                "move-step",
                LogField.of("move", step.move().label()),
                LogField.of("step", step.stepNumber()),
                LogField.of("share-per-mille", step.share().perMille()),
                LogField.of("verdict", step.verdict()),
                LogField.of("reason", step.reason()));
    }
}
