package org.sassafrastrail.messages;

import java.util.Optional;

import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;

/**
 * The first message on a link, in both directions.
 *
 * @param protocolVersion the version of the protocol that the sender speaks
 * @param linkKey the shared key of the fleet's links
 * @param node the sender
 * @param incarnation the sender's life
 * @param upstream where a sidecar takes dispatches; empty for a router
 */
public record Hello(
        int protocolVersion,
        String linkKey,
        NodeName node,
        Incarnation incarnation,
        Optional<UpstreamEndpoint> upstream)
        implements Message {

    /** The version of the protocol that this code speaks. */
    public static final int PROTOCOL_VERSION = 2;

    @Override
    public String toString() {
        return "Hello[protocolVersion=" + protocolVersion + ", node=" + node + ", incarnation=" + incarnation + "]";
    }
}
