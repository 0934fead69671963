package org.sassafrastrail.gateway;

import java.util.Locale;
import java.util.function.Consumer;

import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayReport;
import org.sassafrastrail.runtime.ActionExecutor;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;

/** Carries out the core's decisions on the traffic's threads, and logs each. */
final class GateActions implements ActionExecutor<GatewayAction> {

    private final CallerFrontEnd callers;
    private final Consumer<GatewayReport> peers;
    private final Runnable drained;
    private final CallRecorder recorder;
    private final Metrics metrics;
    private final EventLog log;

    GateActions(
            CallerFrontEnd callers,
            Consumer<GatewayReport> peers,
            Runnable drained,
            CallRecorder recorder,
            Metrics metrics,
            EventLog log) {
        this.callers = callers;
        this.peers = peers;
        this.drained = drained;
        this.recorder = recorder;
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void carryOut(GatewayAction action) {
        if (action instanceof GatewayAction.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof GatewayAction.Refuse refuse) {
            refuse(refuse);
        } else if (action instanceof GatewayAction.DeliverStoredFailure deliver) {
            log.info("upstream-failure-delivered", request(deliver.call()));
            on(deliver.call(), CallerExchange::deliverKept);
        } else if (action instanceof GatewayAction.ReportUnknownOutcome fail) {
            metrics.count("outcome-unknown." + (fail.timedOut() ? "timeout" : "connection-lost"), 1);
            log.info("outcome-unknown", request(fail.call()), LogField.of("timed-out", fail.timedOut()));
            on(fail.call(), call -> call.fail(fail.timedOut()));
        } else if (action instanceof GatewayAction.CancelAttempt abandon) {
            log.info("attempt-abandoned", request(abandon.call()), LogField.of("attempt", abandon.attempt()));
            on(abandon.call(), call -> call.abandon(abandon.attempt()));
        } else if (action instanceof GatewayAction.ReportUpstreamStatus believe) {
            believe(believe);
        } else if (action instanceof GatewayAction.ReportConfigurationInForce inForce) {
            log.info("configuration-in-force", LogField.of("version", inForce.version()));
        } else if (action instanceof GatewayAction.SendReport tell) {
            peers.accept(tell.report());
        } else if (action instanceof GatewayAction.Drained) {
            drained.run();
        }
    }

    private void dispatch(GatewayAction.Dispatch dispatch) {
        if (dispatch.attempt() > 1) {
            metrics.count("attempts-repeated", 1);
        } else {
            reached(dispatch.call(), AccountActivity.Step.SENT);
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
        on(dispatch.call(), call -> call.dispatch(dispatch));
    }

    private void refuse(GatewayAction.Refuse refuse) {
        metrics.count("refused", refuse.reason());
        reached(refuse.call(), AccountActivity.Step.REFUSED);
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
                LogField.of("heard", refuse.capacity().connectedGateways()));
        on(
                refuse.call(),
                call -> call.refuse(
                        Problems.refused(
                                StatusCodes.SERVICE_UNAVAILABLE,
                                refuse.reason(),
                                call.description().request()),
                        refuse.retryAfter()));
    }

    private void believe(GatewayAction.ReportUpstreamStatus believe) {
        metrics.count("upstream", believe.status());
        log.info(
                "upstream-" + believe.status().name().toLowerCase(Locale.ROOT),
                LogField.of("upstream", believe.upstream()),
                LogField.of("detail", believe.detail()));
    }

    private void reached(long number, AccountActivity.Step step) {
        callers.call(number)
                .map(CallerExchange::description)
                .ifPresent(call ->
                        recorder.reached(call.account(), step, call.prompt().cost()));
    }

    private LogField request(long number) {
        return LogField.of(
                "request",
                callers.call(number).map(call -> call.description().request()).orElse("gone:" + number));
    }

    private LogField account(long number) {
        return CallLog.account(
                callers.call(number).flatMap(call -> call.description().account()));
    }

    private void on(long number, Consumer<CallerExchange> work) {
        callers.call(number).ifPresent(call -> call.run(() -> work.accept(call)));
    }
}
