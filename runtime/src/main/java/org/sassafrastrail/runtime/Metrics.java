package org.sassafrastrail.runtime;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** The metrics of a daemon: counters by reason, gauges and times. */
public final class Metrics {

    private final MetricRegistry registry;
    private final ObjectMapper mapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    /**
     * Makes the metrics.
     *
     * @param registry where they are kept
     */
    public Metrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Counts an occurrence with a reason.
     *
     * @param name what is counted
     * @param reason why it occurred
     */
    public void count(String name, Enum<?> reason) {
        registry.counter(name + "." + reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts occurrences.
     *
     * @param name what is counted
     * @param amount how many
     */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /**
     * Notes a duration.
     *
     * @param name what took the time
     * @param nanoseconds how long it took
     */
    public void recordDuration(String name, long nanoseconds) {
        registry.timer(name).update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    /**
     * Shows a value that is read when asked for.
     *
     * @param name the name of the value
     * @param value reads it
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Writes all metrics.
     *
     * @return JSON
     */
    public String toJson() {
        try {
            return mapper.writeValueAsString(registry);
        } catch (JsonProcessingException unexpected) {
            throw new IllegalStateException("metrics are always JSON", unexpected);
        }
    }
}
