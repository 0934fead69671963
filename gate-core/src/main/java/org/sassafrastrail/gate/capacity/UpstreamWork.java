package org.sassafrastrail.gate.capacity;

import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * What response times are learned for.
 *
 * @param upstream one process of an upstream; nothing is carried over to the next one
 * @param kind the kind of work
 */
public record UpstreamWork(UpstreamIncarnation upstream, WorkKind kind) {}
