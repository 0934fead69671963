package org.sassafrastrail.runtime;

import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MetricsTest {

    private static final int ROUTES = 5_000;
    private static final int DURATIONS = 2_000;
    private static final int MAX_TIMERS = 1_024;
    private static final int MAX_SAMPLES = 128;

    private final MetricRegistry registry = new MetricRegistry();
    private final Metrics metrics = new Metrics(registry);

    @Test
    void timersOfRoutesThatComeAndGoStayLevel() {
        IntStream.range(0, ROUTES).forEach(number -> metrics.recordDuration("answer", "route-" + number, number));
        assertThat(registry.getTimers()).hasSizeLessThanOrEqualTo(MAX_TIMERS);
        assertThat(registry.getTimers()).containsKey("answer.route-" + (ROUTES - 1));
    }

    @Test
    void timerOfRouteInUseStays() {
        IntStream.range(0, ROUTES).forEach(number -> {
            metrics.recordDuration("answer", "busy", number);
            metrics.recordDuration("answer", "route-" + number, number);
        });
        assertThat(registry.timer("answer.busy").getCount()).isEqualTo(ROUTES);
    }

    @Test
    void samplesOfOneRouteStayLevel() {
        IntStream.range(0, DURATIONS).forEach(number -> metrics.recordDuration("answer", "busy", number));
        assertThat(registry.timer("answer.busy").getSnapshot().size()).isLessThanOrEqualTo(MAX_SAMPLES);
        assertThat(registry.timer("answer.busy").getSnapshot().getMax()).isEqualTo(DURATIONS - 1);
    }
}
