package org.sassafrastrail.runtime;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** The metrics of a daemon: counters, gauges and timers. */
public final class Metrics {

    private final MetricRegistry registry;
    private final KeyedTimers keyedTimers;
    private final ObjectMapper mapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    /**
     * Creates the metrics of a registry.
     *
     * @param registry the registry that holds the metrics
     */
    public Metrics(MetricRegistry registry) {
        this.registry = registry;
        this.keyedTimers = new KeyedTimers(registry);
    }

    /**
     * Increments the counter of a reason, which is named {@code name.reason} with the reason in lower case.
     *
     * @param name the prefix of the counter's name
     * @param reason the reason for the occurrence
     */
    public void count(String name, Enum<?> reason) {
        registry.counter(name + "." + reason.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Increments a counter.
     *
     * @param name the name of the counter
     * @param amount the increment
     */
    public void count(String name, long amount) {
        registry.counter(name).inc(amount);
    }

    /**
     * Records a duration.
     *
     * @param name the name of the timer, one of few that the program knows
     * @param nanoseconds the duration in nanoseconds
     */
    public void recordDuration(String name, long nanoseconds) {
        registry.timer(name).update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    /**
     * Records a duration under a key that comes from outside the process. Of many keys, those used last are kept.
     *
     * @param name the name of the timer, without the key
     * @param key the key, such as a route or an account
     * @param nanoseconds the duration in nanoseconds
     */
    public void recordDuration(String name, String key, long nanoseconds) {
        keyedTimers.record(name + "." + key, nanoseconds);
    }

    /**
     * Registers a gauge, whose value is read whenever the metrics are written.
     *
     * @param name the name of the gauge
     * @param value supplies the current value
     */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /**
     * Writes all metrics as JSON.
     *
     * @return the JSON text
     */
    public String toJson() {
        try {
            return mapper.writeValueAsString(registry);
        } catch (JsonProcessingException unexpected) {
            throw new IllegalStateException("metrics can't be written as JSON", unexpected);
        }
    }
}
