package org.sassafrastrail.gate.crash;

/**
 * One process of an upstream. It ends with its crash; what starts afterwards is another incarnation.
 *
 * @param upstream the identifier under which it is registered
 * @param startedAtMillis its start in wall-clock milliseconds, 0 if unknown
 */
public record UpstreamIncarnation(String upstream, long startedAtMillis) {}
