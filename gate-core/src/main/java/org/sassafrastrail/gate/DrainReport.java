package org.sassafrastrail.gate;

import java.time.Duration;

import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * What a gateway tells its peers of an upstream that said that it is draining.
 *
 * @param upstream the incarnation of the upstream
 * @param age the time since the gateway heard it, because clocks of VMs differ
 */
public record DrainReport(UpstreamIncarnation upstream, Duration age) {}
