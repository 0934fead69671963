package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what is known of the limits of upstreams. */
class RateLimitsTest {

    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
    private static final UpstreamIncarnation UPSTREAM = new UpstreamIncarnation("one", 1);
    private static final Duration LONG = Duration.ofHours(2);
    private static final OptionalDouble LIMIT = OptionalDouble.of(11.7);
    private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();
    private static final RateLimits LIMITED = RateLimits.NONE.withHeard(UPSTREAM, LIMIT, NOW, NOW);

    private static RateLimits told(RateLimits limits, OptionalDouble limit, Duration age, Instant now) {
        return limits.mergedWith(List.of(new LimitReport(UPSTREAM, limit, age)), now);
    }

    @Test
    void limitHoldsForProcessThatNamedIt() {
        assertThat(LIMITED.requestsPerSecond(UPSTREAM)).isEqualTo(LIMIT);
        assertThat(LIMITED.requestsPerSecond(new UpstreamIncarnation("one", 2))).isEmpty();
    }

    @Test
    void responseToEarlierRequestDoesNotEndLimit() {
        assertThat(LIMITED.withHeard(UPSTREAM, NO_LIMIT, NOW.minusNanos(1), NOW.plusSeconds(1)))
                .isSameAs(LIMITED);
    }

    @Test
    void responseToLaterRequestEndsLimitAgainstOlderKnowledgeOfPeers() {
        Instant end = NOW.plusSeconds(1);
        RateLimits over = LIMITED.withHeard(UPSTREAM, NO_LIMIT, NOW, end);
        assertThat(over.requestsPerSecond(UPSTREAM)).isEmpty();
        assertThat(over.unsharedReports(end)).containsExactly(new LimitReport(UPSTREAM, NO_LIMIT, Duration.ZERO));
        Instant later = end.plusSeconds(58);
        assertThat(told(over, LIMIT, Duration.between(NOW, later), later).inForce(UPSTREAM))
                .isEmpty();
        assertThat(told(over, LIMIT, Duration.ZERO, later).inForce(UPSTREAM)).isPresent();
    }

    @Test
    void endIsKnownAsLongAsTheUpstreamIsRegistered() {
        Instant end = NOW.plusSeconds(1);
        Instant later = end.plus(LONG);
        RateLimits over =
                LIMITED.withHeard(UPSTREAM, NO_LIMIT, NOW, end).asShared().withoutExpired(upstream -> true, later);
        assertThat(over.noneInForce()).isTrue();
        assertThat(told(over, LIMIT, Duration.between(NOW, later), later).noneInForce())
                .isTrue();
        assertThat(over.withoutExpired(upstream -> false, later).named()).isEmpty();
    }

    /** Guards against LIMIT: the limit of an upstream that got nothing for a minute was forgotten. */
    @Test
    void limitHoldsHoweverLongTheUpstreamGetsNothing() {
        assertThat(LIMITED.withoutExpired(upstream -> true, NOW.plus(LONG)).requestsPerSecond(UPSTREAM))
                .isEqualTo(LIMIT);
    }

    @Test
    void gatewayThatStartsBelievesOldLimitUntilItKnowsTheUpstreams() {
        Instant start = NOW.plus(LONG);
        RateLimits told = told(RateLimits.NONE, LIMIT, LONG, start);
        assertThat(told.withoutExpired(upstream -> false, start.plusSeconds(59)).requestsPerSecond(UPSTREAM))
                .isEqualTo(LIMIT);
        assertThat(told.withoutExpired(upstream -> false, start.plusSeconds(60)).named())
                .isEmpty();
    }

    @Test
    void peersAreToldOfChangesAtOnceAndOfTheSameSometimes() {
        RateLimits shared = LIMITED.asShared();
        assertThat(shared.withHeard(UPSTREAM, LIMIT, NOW, NOW.plusMillis(999)).unshared())
                .isEmpty();
        assertThat(shared.withHeard(UPSTREAM, LIMIT, NOW, NOW.plusSeconds(1)).unshared())
                .containsExactly(UPSTREAM);
        assertThat(shared.withHeard(UPSTREAM, OptionalDouble.of(3), NOW, NOW).unshared())
                .containsExactly(UPSTREAM);
    }
}
