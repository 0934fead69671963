package org.sassafrastrail.gate.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.model.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the speed of upstreams is learned from ten responses a second at each, with noise of 30 in 100. */
class LearnedCapacityTest {

    private static final int UPSTREAMS = 40;
    private static final double PREFILL_MILLISECONDS = 0.0125;
    private static final Duration SPACING = Duration.ofMillis(100);
    private static final Percentage TOLERANCE = Percentage.withPercentage(20);

    private Random random = new Random(1);
    private Instant now = Instant.EPOCH;
    private LearnedCapacity capacity = LearnedCapacity.NONE;

    private static UpstreamWork work(int upstream) {
        return new UpstreamWork(new UpstreamIncarnation("engine-" + upstream, 1), WorkKind.PREFILL);
    }

    private void evaluate() {
        capacity = capacity.evaluated(
                IntStream.range(0, UPSTREAMS)
                        .boxed()
                        .collect(Collectors.toMap(LearnedCapacityTest::work, number -> new TargetName("model"))),
                PREFILL_MILLISECONDS,
                now);
    }

    /** Each response takes 45 ms and the prefill, times the factor of its upstream. */
    private void respond(int seconds, IntToDoubleFunction factor) {
        for (int round = 0; round < seconds * 10; round++) {
            now = now.plus(SPACING);
            for (int upstream = 0; upstream < UPSTREAMS; upstream++) {
                double tokens = 300 + random.nextInt(12_000);
                double noise = Math.exp(0.3 * random.nextGaussian());
                double milliseconds = (45 + tokens * PREFILL_MILLISECONDS) * factor.applyAsDouble(upstream) * noise;
                capacity = capacity.withResponse(
                        work(upstream), tokens, Duration.ofNanos(Math.round(milliseconds * 1e6)), now);
            }
        }
        evaluate();
    }

    private double relativeTime(int upstream) {
        return capacity.estimate(work(upstream)).relativeTime();
    }

    /** Guards against placement by noise: nothing may differ among equal upstreams. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void equalUpstreamsWithNoiseDoNotDiffer(long seed) {
        random = new Random(seed);
        for (int second = 0; second < 20; second++) {
            respond(1, upstream -> 1);
            assertThat(capacity.differing()).isZero();
        }
    }

    @Test
    void speedsAreLearned() {
        double[] speeds = {0.6, 1, 1.6};
        respond(8, upstream -> 1 / speeds[upstream % 3]);
        assertThat(relativeTime(0)).isCloseTo(1 / 0.6, TOLERANCE);
        assertThat(relativeTime(1)).isCloseTo(1, TOLERANCE);
        assertThat(relativeTime(2)).isCloseTo(1 / 1.6, TOLERANCE);
    }

    /** One upstream at a quarter of its speed for 10 s is known as slow after 2 s, and no longer 10 s after that. */
    @Test
    void changesAreFollowedInBothDirections() {
        respond(5, upstream -> 1);
        respond(2, upstream -> upstream == 7 ? 4 : 1);
        assertThat(relativeTime(7)).isGreaterThan(1.8);
        respond(8, upstream -> upstream == 7 ? 4 : 1);
        assertThat(relativeTime(7)).isCloseTo(4, TOLERANCE);
        respond(10, upstream -> 1);
        assertThat(relativeTime(7)).isEqualTo(1);
        assertThat(capacity.differing()).isZero();
    }

    /** Periods of 600 ms are shorter than what is learned can follow: it must not mark upstreams as slow for longer. */
    @Test
    void shortSlowPeriodsMarkFewUpstreams() {
        for (int period = 0; period < 20; period++) {
            int slow = random.nextInt(7);
            respond(1, upstream -> upstream % 7 == slow && random.nextDouble() < 0.6 ? 2.5 : 1);
        }
        assertThat(capacity.differing()).isLessThan(UPSTREAMS / 4);
    }

    @Test
    void newIncarnationStartsWithNothingLearned() {
        respond(8, upstream -> upstream == 7 ? 4 : 1);
        UpstreamWork restarted = new UpstreamWork(new UpstreamIncarnation("engine-7", 2), WorkKind.PREFILL);
        assertThat(capacity.estimate(restarted)).isEqualTo(WorkEstimate.USUAL);
    }

    @Test
    void peerThatHearsNothingElseLearnsFromReport() {
        respond(8, upstream -> upstream == 7 ? 4 : 1);
        CapacityReport report = capacity.dueReport(now).orElseThrow();
        capacity = LearnedCapacity.NONE.withReport("peer", 1, report, now);
        evaluate();
        assertThat(relativeTime(7)).isCloseTo(4, TOLERANCE);
    }

    /** Guards against a report from before a restart, or one that was late, that replaces a newer one. */
    @Test
    void olderReportChangesNothing() {
        CapacityReport newer = report(2, 100);
        LearnedCapacity known = LearnedCapacity.NONE.withReport("peer", 5, newer, now);
        assertThat(known.withReport("peer", 5, report(1, 900), now)).isEqualTo(known);
        assertThat(known.withReport("peer", 4, report(9, 900), now)).isEqualTo(known);
        assertThat(known.withReport("peer", 6, report(1, 900), now)).isNotEqualTo(known);
    }

    private static CapacityReport report(long sequence, double milliseconds) {
        return new CapacityReport(sequence, List.of(new UpstreamSums(work(0), ResponseSums.of(1, milliseconds))));
    }

    @Test
    void impossibleSumsOfPeerAreIgnored() {
        ResponseSums invalid = new ResponseSums(Double.NaN, 1, 1, 1, -1, 1, 1);
        CapacityReport report = new CapacityReport(1, List.of(new UpstreamSums(work(0), invalid)));
        capacity = LearnedCapacity.NONE.withReport("peer", 1, report, now);
        assertThat(capacity.peers().get("peer").sums()).isEqualTo(Map.of());
    }

    @Test
    void reportsAreBoundedAndCoverAllUpstreamsInTurn() {
        for (int upstream = 0; upstream < 100; upstream++) {
            capacity = capacity.withResponse(work(upstream), 1_000, SPACING, now);
        }
        assertThat(capacity.dueReport(now).orElseThrow().upstreams()).hasSize(CapacityReport.MAX_UPSTREAMS);
        capacity = capacity.asShared(now);
        assertThat(capacity.dueReport(now)).isEmpty();
        now = now.plusSeconds(1);
        assertThat(capacity.dueReport(now).orElseThrow().upstreams()).hasSize(100 - CapacityReport.MAX_UPSTREAMS);
    }
}
