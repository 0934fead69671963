package org.sassafrastrail.messages;

import java.util.Optional;

import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;

/**
 * The greeting, which is the first message on a link in both directions. It identifies the sender.
 *
 * @param protocolVersion the protocol version of the sender
 * @param linkKey the shared key that authenticates the links of the fleet
 * @param node the name of the sender
 * @param incarnation the incarnation of the sender
 * @param upstream the upstream of a sidecar and its dispatch port; empty for other senders
 */
public record Hello(
        int protocolVersion,
        String linkKey,
        NodeName node,
        Incarnation incarnation,
        Optional<UpstreamEndpoint> upstream)
        implements Message {

    /** The protocol version of this code. */
    public static final int PROTOCOL_VERSION = 2;

    @Override
    public String toString() {
        return "Hello[protocolVersion=" + protocolVersion + ", node=" + node + ", incarnation=" + incarnation + "]";
    }
}
