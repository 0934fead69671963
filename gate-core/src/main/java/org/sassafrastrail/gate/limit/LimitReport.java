package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.util.OptionalDouble;

import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * What a gateway tells its peers of the limit of an upstream.
 *
 * @param upstream the incarnation of the upstream
 * @param requestsPerSecond the requests a second that it takes from all gateways together, empty if it has no limit any more
 * @param age the time since the upstream said so, because clocks of VMs differ
 */
public record LimitReport(UpstreamIncarnation upstream, OptionalDouble requestsPerSecond, Duration age) {}
