package org.sassafrastrail.messages;

/**
 * The load that one gateway puts on an upstream.
 *
 * @param upstream the identifier of the upstream
 * @param running the number of the gateway's requests that the upstream is running
 * @param pendingPrefillTokens the estimated prompt tokens of these requests that the upstream still has to prefill
 */
public record UpstreamLoad(String upstream, int running, long pendingPrefillTokens) {}
