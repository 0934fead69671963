package org.sassafrastrail.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.sassafrastrail.gate.CrashReport;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.VersionMove;
import org.sassafrastrail.runtime.Metrics;

/** The source of cluster state: the configuration, the upstreams, failure domains out of service, and other gateways. */
public interface ClusterStateSource {

    /**
     * Starts to watch the cluster state and to report it as events.
     *
     * @param listener receives the events, on any thread
     * @param peers the other gateways, which have copies of the tables in the store
     * @param metrics receives counts of what happens to the source
     * @return stops watching when run
     */
    Runnable watch(Consumer<GatewayEvent> listener, GatewayPeers peers, Metrics metrics);

    /**
     * Records for all gateways and the operators that the new version of a move is rejected. Does not block.
     *
     * @param move the move
     */
    void rejectVersion(VersionMove move);

    /**
     * Records what gateways have to know of crashes of upstreams after all of them were down at once, in place of what was
     * recorded before. Each gateway gets it as an event when it starts. Does not block.
     *
     * @param crashes the crashes
     */
    void recordCrashes(List<CrashReport> crashes);
}
