package org.sassafrastrail.messages;

/**
 * What one gateway has at one upstream.
 *
 * @param upstream the upstream's identifier
 * @param running how many of the gateway's requests run there
 * @param pendingPrefillTokens the tokens of their prompts that it is believed still to read
 */
public record UpstreamLoad(String upstream, int running, long pendingPrefillTokens) {}
