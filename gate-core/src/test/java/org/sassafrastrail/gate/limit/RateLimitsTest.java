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
    void endIsKnownAsLongAsOlderKnowledgeIsBelieved() {
        Instant end = NOW.plusSeconds(1);
        Instant forgotten = end.plusSeconds(60);
        RateLimits over =
                LIMITED.withHeard(UPSTREAM, NO_LIMIT, NOW, end).asShared().withoutExpired(forgotten);
        assertThat(over.isEmpty()).isTrue();
        assertThat(told(over, LIMIT, Duration.between(NOW, forgotten), forgotten)
                        .isEmpty())
                .isTrue();
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
