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
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.GrantReturnReason;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.sidecar.core.SidecarCore;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.SidecarState;

/** Measures the time of a sidecar decision as a function of linked routers and backlogged accounts. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class SidecarDecisions {

    private static final NodeName ROUTER = new NodeName("router-0");

    /** The number of linked routers. */
    @Param({"3", "10", "24"})
    private int routers;

    /** The number of backlogged client accounts, out of 420, that every router reports. */
    @Param({"4", "42"})
    private int backlogged;

    private final SidecarCore core = Fixtures.sidecar();
    private SidecarState state;
    private SidecarEvent returned;
    private SidecarEvent update;

    /** Creates the state and the events. */
    @Setup
    public void build() {
        state = Fixtures.sidecarState(core, routers, 420, backlogged);
        GrantIdentifier grant = new GrantIdentifier(new NodeName("sidecar-1"), new Incarnation(1), 1);
        returned = new SidecarEvent.RouterMessageReceived(ROUTER, new GrantReturn(grant, GrantReturnReason.NO_DEMAND));
        update = new SidecarEvent.RouterMessageReceived(ROUTER, new LedgerUpdate(Fixtures.entries(10, backlogged)));
    }

    /**
     * Handles the return of a grant and issues the next one.
     *
     * @return the decision
     */
    @Benchmark
    public Object nextGrant() {
        return core.handle(state, returned, Fixtures.NOW);
    }

    /**
     * Merges the ledger entries of ten other sidecars.
     *
     * @return the decision
     */
    @Benchmark
    public Object merge() {
        return core.handle(state, update, Fixtures.NOW);
    }
}
