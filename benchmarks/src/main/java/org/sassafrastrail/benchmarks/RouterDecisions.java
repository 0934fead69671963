package org.sassafrastrail.benchmarks;

import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.sassafrastrail.router.core.RouterCore;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterState;

/** Measures the time of a router decision as a function of linked sidecars and backlogged accounts. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RouterDecisions {

    /** The number of linked sidecars. */
    @Param({"8", "24", "64"})
    private int sidecars;

    /** The number of backlogged client accounts out of 420. */
    @Param({"0", "4", "42"})
    private int backlogged;

    private final RouterCore core = Fixtures.router();
    private RouterState state;

    /** Creates the state and handles one tick, so that the pending demand reports are already sent. */
    @Setup
    public void build() {
        RouterState stateBeforeTick = Fixtures.routerState(core, sidecars, 420, backlogged, 3);
        state = core.handle(stateBeforeTick, new RouterEvent.Tick(), Fixtures.NOW)
                .state();
    }

    /**
     * Handles the arrival of a request.
     *
     * @return the decision
     */
    @Benchmark
    public Object arrival() {
        return core.handle(state, Fixtures.arrival(1_000_000, 7), Fixtures.NOW);
    }

    /**
     * Handles a tick while nothing else has changed.
     *
     * @return the decision
     */
    @Benchmark
    public Object tick() {
        return core.handle(state, new RouterEvent.Tick(), Fixtures.NOW);
    }
}
