package org.sassafrastrail.gate.capacity;

import java.util.List;

/**
 * What a gateway tells its peers of its own responses.
 *
 * @param sequence the number of the report, which rises during one run of the gateway
 * @param upstreams the upstreams with new responses
 */
public record CapacityReport(long sequence, List<UpstreamSums> upstreams) {

    /** The most upstreams in one report, which bounds its size. */
    public static final int MAX_UPSTREAMS = 64;
}
