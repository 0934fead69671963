package org.sassafrastrail.messages;

import java.util.List;

/**
 * Tells a gateway's peers what it has learnt of crashes of upstreams since its last such message on the link.
 *
 * @param crashes the crashes
 */
public record CrashUpdate(List<UpstreamCrash> crashes) implements Message {}
