package org.sassafrastrail.gate;

/**
 * What other gateways have at an upstream.
 *
 * @param running how many of their requests run there
 * @param tokensToRead the tokens of their prompts that it is believed still to read
 */
public record UpstreamLoadElsewhere(int running, long tokensToRead) {

    static final UpstreamLoadElsewhere NONE = new UpstreamLoadElsewhere(0, 0);

    UpstreamLoadElsewhere minus(UpstreamLoadElsewhere other) {
        return new UpstreamLoadElsewhere(running - other.running, tokensToRead - other.tokensToRead);
    }

    UpstreamLoadElsewhere plus(UpstreamLoadElsewhere other) {
        return new UpstreamLoadElsewhere(running + other.running, tokensToRead + other.tokensToRead);
    }
}
