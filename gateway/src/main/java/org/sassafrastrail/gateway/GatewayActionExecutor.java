package org.sassafrastrail.gateway;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.runtime.ActionExecutor;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;

/** Executes the actions of the core, those for requests on the callers' I/O threads, and logs them. */
final class GatewayActionExecutor implements ActionExecutor<GatewayAction> {

    private final CallerFrontEnd callers;
    private final PeerNotifier peers;
    private final ClusterStateSource clusterState;
    private final Runnable drained;
    private final CallRecorder recorder;
    private final Metrics metrics;
    private final EventLog log;

    GatewayActionExecutor(
            CallerFrontEnd callers,
            PeerNotifier peers,
            ClusterStateSource clusterState,
            Runnable drained,
            CallRecorder recorder,
            Metrics metrics,
            EventLog log) {
        this.callers = callers;
        this.peers = peers;
        this.clusterState = clusterState;
        this.drained = drained;
        this.recorder = recorder;
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void execute(GatewayAction action) {
        if (action instanceof GatewayAction.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof GatewayAction.Refuse refuse) {
            refuse(refuse);
        } else if (action instanceof GatewayAction.DeliverStoredFailure deliver) {
            log.info("upstream-failure-delivered", request(deliver.call()));
            onCall(deliver.call(), CallerExchange::deliverStoredFailure);
        } else if (action instanceof GatewayAction.ReportUnknownOutcome unknown) {
            metrics.count("outcome-unknown." + (unknown.timedOut() ? "timeout" : "connection-lost"), 1);
            log.info("outcome-unknown", request(unknown.call()), LogField.of("timed-out", unknown.timedOut()));
            onCall(unknown.call(), call -> call.failWithUnknownOutcome(unknown.timedOut()));
        } else if (action instanceof GatewayAction.CancelAttempt cancel) {
            log.info("attempt-abandoned", request(cancel.call()), LogField.of("attempt", cancel.attempt()));
            onCall(cancel.call(), call -> call.cancelAttempt(cancel.attempt()));
        } else if (action instanceof GatewayAction.ReportUpstreamStatus report) {
            recordUpstreamStatus(report);
        } else if (action instanceof GatewayAction.ReportConfigurationInForce inForce) {
            log.info("configuration-in-force", LogField.of("version", inForce.version()));
        } else if (action instanceof GatewayAction.SendReport send) {
            peers.sendReport(send.report());
        } else if (action instanceof GatewayAction.ShareCrashes share) {
            peers.shareCrashes(share.crashes());
        } else if (action instanceof GatewayAction.RecordCrashes toRecord) {
            clusterState.recordCrashes(toRecord.crashes());
        } else if (action instanceof GatewayAction.ShareDrainNotices share) {
            peers.shareDrainNotices(share.reports());
        } else if (action instanceof GatewayAction.ShareRateLimits share) {
            peers.shareRateLimits(share.reports());
        } else if (action instanceof GatewayAction.AnnounceDomain announce) {
            peers.announceDomain(announce.domain());
        } else if (action instanceof GatewayAction.ShareCapacity share) {
            peers.shareCapacity(share.report());
        } else if (action instanceof GatewayAction.ReportSpeed report) {
            recordSpeed(report);
        } else if (action instanceof GatewayAction.RequestPermit request) {
            peers.requestPermit(request);
        } else if (action instanceof GatewayAction.AnswerPermitRequest answer) {
            peers.answerPermitRequest(answer);
        } else if (action instanceof GatewayAction.ReportHeldBack) {
            metrics.count("held-back-by-rate-limit", 1);
        } else if (action instanceof GatewayAction.ReportCrashCause cause) {
            recordCrashCause(cause);
        } else if (action instanceof GatewayAction.RejectVersion reject) {
            log.warn(
                    "version-rejected",
                    LogField.of("target", reject.move().target()),
                    LogField.of("version", reject.move().version()));
            clusterState.rejectVersion(reject.move());
        } else if (action instanceof GatewayAction.Drained) {
            drained.run();
        }
    }

    private void dispatch(GatewayAction.Dispatch dispatch) {
        if (dispatch.attempt() > 1) {
            metrics.count("attempts-repeated", 1);
        } else {
            stepReached(dispatch.call(), AccountActivity.Step.SENT);
        }
        log.info(
                "dispatched",
                request(dispatch.call()),
                account(dispatch.call()),
                LogField.of("attempt", dispatch.attempt()),
                LogField.of("upstream", dispatch.upstream().identifier()),
                LogField.of("waited-ms", dispatch.timeSinceArrival().toMillis()),
                LogField.of("left-ms", dispatch.remainingTime().toMillis()),
                LogField.of("tokens-ahead", dispatch.pendingPrefillTokens()),
                LogField.of("tokens-to-read", dispatch.prefillTokens()));
        onCall(dispatch.call(), call -> call.dispatch(dispatch));
    }

    private void refuse(GatewayAction.Refuse refuse) {
        metrics.count("refused", refuse.reason());
        stepReached(refuse.call(), AccountActivity.Step.REFUSED);
        log.info(
                "refused",
                request(refuse.call()),
                account(refuse.call()),
                LogField.of("reason", refuse.reason()),
                LogField.of("waited-ms", refuse.queueingTime().toMillis()),
                LogField.of("upstreams", refuse.capacity().eligible()),
                LogField.of("with-room", refuse.capacity().withHeadroom()),
                LogField.of("least-tokens-ahead", refuse.capacity().minPendingPrefillTokens()),
                LogField.of("gateways", refuse.capacity().gateways()),
                LogField.of("heard", refuse.capacity().connectedGateways()),
                LogField.of("account-asked", refuse.account().requested()),
                LogField.of("account-sent", refuse.account().served()),
                LogField.of("level", ActivityLog.formatLevel(refuse.account().level())),
                LogField.of("share", formatShare(refuse.account().capacityShare())));
        onCall(
                refuse.call(),
                call -> call.refuse(
                        GatewayProblems.refusal(
                                StatusCodes.SERVICE_UNAVAILABLE,
                                refuse.reason(),
                                call.description().request()),
                        refuse.retryAfter()));
    }

    private static String formatShare(double share) {
        return String.format(Locale.ROOT, "%.2f", share);
    }

    private void recordUpstreamStatus(GatewayAction.ReportUpstreamStatus report) {
        metrics.count("upstream", report.status());
        log.info(
                "upstream-" + report.status().name().toLowerCase(Locale.ROOT).replace('_', '-'),
                LogField.of("upstream", report.upstream()),
                LogField.of("detail", report.detail()));
    }

    private void recordCrashCause(GatewayAction.ReportCrashCause cause) {
        metrics.count("crash-causes." + (cause.refused() ? "refused" : "released"), 1);
        log.warn(
                cause.refused() ? "crash-cause-refused" : "crash-cause-released",
                LogField.of("parts", cause.parts().stream().sorted().collect(Collectors.joining(","))));
    }

    private void recordSpeed(GatewayAction.ReportSpeed report) {
        boolean differs = report.estimate().differs();
        metrics.count("upstream-speed." + (differs ? "differs" : "usual"), 1);
        log.info(
                differs ? "upstream-speed-differs" : "upstream-speed-usual",
                LogField.of("upstream", report.work().upstream().upstream()),
                LogField.of("work", report.work().kind()),
                LogField.of(
                        "relative-time",
                        String.format(Locale.ROOT, "%.2f", report.estimate().relativeTime())));
    }

    private void stepReached(long number, AccountActivity.Step step) {
        callers.call(number)
                .map(CallerExchange::description)
                .ifPresent(call ->
                        recorder.stepReached(call.account(), step, call.prompt().cost()));
    }

    private LogField request(long number) {
        return LogField.of(
                "request",
                callers.call(number).map(call -> call.description().request()).orElse("gone:" + number));
    }

    private LogField account(long number) {
        return LoggingCallRecorder.account(
                callers.call(number).flatMap(call -> call.description().account()));
    }

    private void onCall(long number, Consumer<CallerExchange> work) {
        callers.call(number).ifPresent(call -> call.runOnIoThread(() -> work.accept(call)));
    }
}
