package org.sassafrastrail.runtime;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Timer;

/**
 * The timers whose names have a key from outside the process, such as a route. Keys come and go, so only the timers used last
 * are kept, each with its last samples.
 */
final class KeyedTimers {

    private static final int MAX_TIMERS = 1024;
    private static final int SAMPLES = 128;

    private final MetricRegistry registry;
    private final Map<String, Timer> timers = new LinkedHashMap<>(16, 0.75f, true) {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Timer> eldest) {
            return size() > MAX_TIMERS && registry.remove(eldest.getKey());
        }
    };

    KeyedTimers(MetricRegistry registry) {
        this.registry = registry;
    }

    synchronized void record(String name, long nanoseconds) {
        timers.computeIfAbsent(name, this::register).update(nanoseconds, TimeUnit.NANOSECONDS);
    }

    private Timer register(String name) {
        return registry.timer(name, () -> new Timer(new SlidingWindowReservoir(SAMPLES)));
    }
}
