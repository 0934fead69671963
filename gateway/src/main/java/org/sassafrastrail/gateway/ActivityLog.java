package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.sassafrastrail.gate.GatewayState;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;

/**
 * Logs once a second the lag of this process, the number of its connections and requests, and the activity of the client
 * accounts that requested most. The number of logged accounts is limited, so that many callers do not make the log longer.
 */
final class ActivityLog {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final int MAX_ACCOUNTS = 6;

    private final AccountActivity accounts;
    private final Supplier<GatewayState> state;
    private final Supplier<Duration> lag;
    private final Supplier<Integer> connections;
    private final Clock clock;
    private final EventLog log;
    private Instant lastLoggedAt = Instant.MIN;

    ActivityLog(
            AccountActivity accounts,
            Supplier<GatewayState> state,
            Supplier<Duration> lag,
            Supplier<Integer> connections,
            Clock clock,
            EventLog log) {
        this.accounts = accounts;
        this.state = state;
        this.lag = lag;
        this.connections = connections;
        this.clock = clock;
        this.log = log;
    }

    /** Writes the log lines if the interval has passed since the last ones and requests arrived. */
    void logIfDue() {
        Instant now = clock.instant();
        if (now.isBefore(lastLoggedAt.plus(INTERVAL))) {
            return;
        }
        lastLoggedAt = now;
        List<AccountActivity.Row> rows = accounts.takeTop(MAX_ACCOUNTS);
        if (rows.isEmpty()) {
            return;
        }
        log.info(
                "activity",
                LogField.of("behind-ms", lag.get().toMillis()),
                LogField.of("connections", connections.get()),
                LogField.of("calls", state.get().calls().size()),
                LogField.of("waiting", state.get().queued().size()),
                LogField.of("level", formatLevel(state.get().fairShareLevel())));
        rows.forEach(this::logAccount);
    }

    static String formatLevel(double tokens) {
        return Double.isInfinite(tokens) ? "none" : Long.toString(Math.round(tokens));
    }

    private void logAccount(AccountActivity.Row row) {
        Stream<LogField> costs =
                Stream.of(AccountActivity.Step.values()).map(step -> LogField.of(step.fieldName(), row.cost(step)));
        log.info(
                "account-activity",
                Stream.concat(Stream.of(LogField.of("account", row.account())), costs)
                        .toArray(LogField[]::new));
    }
}
