package org.sassafrastrail.messages;

import java.util.List;

/**
 * Tells a gateway's peers which limits on their requests upstreams named in responses, since its last such message on the link.
 *
 * @param upstreams the upstreams
 */
public record LimitUpdate(List<LimitedUpstream> upstreams) implements Message {}
