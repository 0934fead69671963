package org.sassafrastrail.messages;

import java.util.List;

/**
 * Tells a gateway's peers what its own responses show of the speed of upstreams, of which it has new responses.
 *
 * @param sequence the number of the message, which rises during one run of the gateway
 * @param upstreams the upstreams
 */
public record CapacityUpdate(long sequence, List<UpstreamResponses> upstreams) implements Message {}
