package org.sassafrastrail.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.Prompt;
import org.sassafrastrail.gate.PromptPart;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;

/**
 * Records requests and attempts in the log and the metrics. A successful attempt shows only in the log line of its finished
 * request.
 */
final class LoggingCallRecorder implements CallRecorder {

    private static final String NONE = "-";

    private final Metrics metrics;
    private final EventLog log;
    private final AccountActivity accounts;
    private final Consumer<AccountName> beganListener;

    /**
     * Creates the recorder.
     *
     * @param metrics counts what is recorded
     * @param log receives an event for each outcome
     * @param accounts sums the cost of the requests of each client account
     * @param beganListener receives the client account of each request that an upstream begins to respond to, once
     */
    LoggingCallRecorder(Metrics metrics, EventLog log, AccountActivity accounts, Consumer<AccountName> beganListener) {
        this.beganListener = beganListener;
        this.metrics = metrics;
        this.accounts = accounts;
        this.log = log;
    }

    @Override
    public void refusedOnArrival(
            String request,
            Optional<AccountName> account,
            String hostAndPath,
            RefusalReason reason,
            String configuration) {
        metrics.count("refused", reason);
        log.info(
                "refused",
                LogField.of("request", request.isEmpty() ? NONE : request),
                account(account),
                LogField.of("reason", reason),
                LogField.of("place", hostAndPath),
                LogField.of("configuration", configuration));
    }

    @Override
    public void stepReached(Optional<AccountName> account, AccountActivity.Step step, long cost) {
        accounts.add(account, step, cost);
        if (step == AccountActivity.Step.BEGAN) {
            account.ifPresent(beganListener);
        }
    }

    @Override
    public void connectionClosedOverLimit() {
        metrics.count("connections-closed-over-limit", 1);
    }

    @Override
    public void attemptEnded(CallDescription call, int attempt, Upstream upstream, AttemptResult result, String cause) {
        String name = result.getClass().getSimpleName();
        metrics.count("attempts." + name, 1);
        if (!(result instanceof AttemptResult.Delivered)) {
            log.info(
                    "attempt-ended",
                    LogField.of("request", call.request()),
                    LogField.of("attempt", attempt),
                    LogField.of("upstream", upstream.identifier()),
                    LogField.of("result", name),
                    LogField.of("cause", cause),
                    LogField.of("parts", parts(call.prompt())));
        }
    }

    /** Names the shared parts of a prompt, which show what the requests have in common that an upstream lost together. */
    private static String parts(Prompt prompt) {
        return prompt.parts().isEmpty()
                ? NONE
                : prompt.parts().stream().map(PromptPart::identifier).collect(Collectors.joining(","));
    }

    @Override
    public void pauseIgnored(Upstream upstream) {
        metrics.count("pauses-ignored", 1);
        log.debug("pause-ignored", LogField.of("upstream", upstream.identifier()));
    }

    @Override
    public void rateLimitIgnored(Upstream upstream) {
        metrics.count("rate-limits-ignored", 1);
        log.debug("rate-limit-ignored", LogField.of("upstream", upstream.identifier()));
    }

    @Override
    public void finished(FinishedCall call) {
        String route = call.description().route().name();
        metrics.recordDuration("answer", route, call.duration().toNanos());
        call.timeToFirstByte().ifPresent(first -> metrics.recordDuration("first-event", route, first.toNanos()));
        log.info(
                "answered",
                LogField.of("request", call.description().request()),
                LogField.of("route", route),
                account(call.description().account()),
                LogField.of("cost", call.description().prompt().cost()),
                LogField.of("status", call.status()),
                LogField.of("ending", call.outcome()),
                LogField.of("body-end", call.bodyEnd()),
                LogField.of("closing", call.closing()),
                LogField.of("body", call.bodyForm().map(BodyForm::name).orElse(NONE)),
                LogField.of("last-event", call.lastEvent().orElse(NONE)),
                LogField.of(
                        "first-ms",
                        call.timeToFirstByte()
                                .map(first -> Long.toString(first.toMillis()))
                                .orElse(NONE)),
                LogField.of("took-ms", call.duration().toMillis()));
    }

    static LogField account(Optional<AccountName> account) {
        return LogField.of("account", account.map(Object::toString).orElse(NONE));
    }
}
