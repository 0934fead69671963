package org.sassafrastrail.gateway;

import java.util.function.Consumer;

import org.sassafrastrail.gate.GatewayEvent;

/** Where configurations, upstreams and other gateways are learnt from. */
@FunctionalInterface
public interface ClusterStateSource {

    /**
     * Starts to tell what is learnt.
     *
     * @param listener takes each piece of news, on any thread
     * @param peers the other gateways, which have copies of what the store holds
     * @return stops telling
     */
    Runnable watch(Consumer<GatewayEvent> listener, GatewayPeers peers);
}
