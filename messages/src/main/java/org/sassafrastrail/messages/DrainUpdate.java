package org.sassafrastrail.messages;

import java.util.List;

/**
 * Tells a gateway's peers which upstreams said in a response that they are draining, since its last such message on the link.
 *
 * @param upstreams the upstreams
 */
public record DrainUpdate(List<DrainingUpstream> upstreams) implements Message {}
