package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafrastrail.model.AccountName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the order of queued requests against a plain sort of all of them. */
class SchedulingOrderTest {

    private static final int CALLS = 200;
    private static final int ACCOUNTS = 7;

    /** Guards against requests that are passed over, because the queues by account differ from what is queued. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void isThatOfAllQueuedRequestsSorted(long seed) {
        Random random = new Random(seed);
        Instant now = Instant.EPOCH.plusSeconds(100);
        GatewayState state = GatewayState.start("gateway", Duration.ofSeconds(4));
        List<Call> queued = new ArrayList<>();
        for (int number = 0; number < CALLS; number++) {
            Call call = call(number, random.nextInt(ACCOUNTS), now.plusMillis(number));
            state = state.with(call);
            queued.add(call);
            if (random.nextInt(3) == 0) {
                Call removed = queued.remove(random.nextInt(queued.size()));
                state = state.without(removed);
            }
        }
        // Two accounts have been served the same, and the others differ.
        for (int account = 2; account < ACCOUNTS; account++) {
            state = state.with(state.shares().withServed("account-" + account, 1000L * account * account, now));
        }
        GatewayState last = state;
        List<Call> sorted = queued.stream()
                .sorted(Comparator.<Call>comparingDouble(
                                call -> last.shares().servedTokens(SchedulingOrder.account(call), now))
                        .thenComparing(Call::queuedSince))
                .toList();
        assertThat(SchedulingOrder.of(last, GatewayDriver.MODEL, now)).containsExactlyElementsOf(sorted);
        assertThat(IntStream.range(0, sorted.size()).boxed().toList()).hasSameSizeAs(last.queued());
    }

    private static Call call(long number, int account, Instant now) {
        Route route = GatewayDriver.route("tell", GatewayDriver.MODEL, false, true, 1, Duration.ofSeconds(4));
        CallDescription description = new CallDescription(
                "request-" + number,
                route,
                Optional.of(new AccountName("account-" + account)),
                Prompt.NONE,
                now,
                now.plusSeconds(4));
        return Call.arrived(number, description, GatewayDriver.MODEL, now);
    }
}
