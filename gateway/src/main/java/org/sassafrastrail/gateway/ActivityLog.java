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
 * Logs once a second how far this process is behind, what it holds, and what the client accounts that asked most got here.
 * Bounded, so that a crowd of callers does not make it longer.
 */
final class ActivityLog {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final int MOST_ACCOUNTS = 6;

    private final AccountActivity accounts;
    private final Supplier<GatewayState> state;
    private final Supplier<Duration> behind;
    private final Supplier<Integer> connections;
    private final Clock clock;
    private final EventLog log;
    private Instant last = Instant.MIN;

    ActivityLog(
            AccountActivity accounts,
            Supplier<GatewayState> state,
            Supplier<Duration> behind,
            Supplier<Integer> connections,
            Clock clock,
            EventLog log) {
        this.accounts = accounts;
        this.state = state;
        this.behind = behind;
        this.connections = connections;
        this.clock = clock;
        this.log = log;
    }

    /** Writes the lines if an interval has passed since the last ones and something was asked. */
    void note() {
        Instant now = clock.instant();
        if (now.isBefore(last.plus(INTERVAL))) {
            return;
        }
        last = now;
        List<AccountActivity.Row> rows = accounts.take(MOST_ACCOUNTS);
        if (rows.isEmpty()) {
            return;
        }
        log.info(
                "activity",
                LogField.of("behind-ms", behind.get().toMillis()),
                LogField.of("connections", connections.get()),
                LogField.of("calls", state.get().calls().size()),
                LogField.of("waiting", state.get().waiting().size()),
                LogField.of("level", level(state.get().fairShareLevel())));
        rows.forEach(this::note);
    }

    private static String level(double tokens) {
        return Double.isInfinite(tokens) ? "none" : Long.toString(Math.round(tokens));
    }

    private void note(AccountActivity.Row row) {
        Stream<LogField> costs =
                Stream.of(AccountActivity.Step.values()).map(step -> LogField.of(step.text(), row.cost(step)));
        log.info(
                "account-activity",
                Stream.concat(Stream.of(LogField.of("account", row.account())), costs)
                        .toArray(LogField[]::new));
    }
}
