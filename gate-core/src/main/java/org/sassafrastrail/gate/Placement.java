package org.sassafrastrail.gate;

import java.util.List;
import java.util.Optional;

import org.sassafrastrail.gate.capacity.WorkEstimate;

/** Chooses the upstream for a request among the eligible ones. */
interface Placement {

    /**
     * The upstream chosen for a request.
     *
     * @param candidate the upstream
     * @param prefillTokens the estimated prompt tokens that the upstream has not cached and must prefill
     */
    record Choice(Candidate candidate, long prefillTokens) {}

    /**
     * An eligible upstream.
     *
     * @param upstream its state at this gateway
     * @param peerLoad the load that the other gateways put on it
     * @param unknownRequests the number of its requests that no gateway is known to have sent
     * @param serviceTime how long requests to a plain service take there, as the gateways learned it
     * @param inOwnDomain whether it is in the failure domain of this gateway
     */
    record Candidate(
            UpstreamState upstream,
            GatewayLoad peerLoad,
            int unknownRequests,
            WorkEstimate serviceTime,
            boolean inOwnDomain) {

        UpstreamIdentifier identifier() {
            return upstream.upstream().identifier();
        }

        int running() {
            return upstream.running() + peerLoad.running() + unknownRequests;
        }

        /** Returns the estimated time to prefill the given tokens, in milliseconds. */
        double prefillMilliseconds(double tokens) {
            return upstream.prefillRate().millisecondsFor(tokens);
        }

        /** Returns the expected time of one more request to a plain service, in requests of a usual upstream. */
        double relativeServiceTime() {
            return (running() + 1) * serviceTime.relativeTime();
        }

        long pendingPrefillTokens() {
            return upstream.pendingPrefillTokens() + peerLoad.pendingPrefillTokens();
        }
    }

    /**
     * How much of the upstreams' capacity a request may use.
     *
     * @param loadFactor the factor by which known load is scaled up to account for gateways that are not connected
     * @param share the share of the maximum prefill wait that the request may use, above 1 for an account that is behind
     */
    record CapacityAllowance(double loadFactor, double share) {}

    /**
     * Chooses an upstream.
     *
     * @param call the request
     * @param candidates the eligible upstreams
     * @param allowance how much of the upstreams' capacity the request may use
     * @return the choice, or empty if the request should stay queued at the gateway
     */
    Optional<Choice> choose(Call call, List<Candidate> candidates, CapacityAllowance allowance);

    /**
     * Returns whether an upstream has capacity for a request.
     *
     * @param candidate the upstream
     * @param call the request
     * @param allowance how much of the upstreams' capacity the request may use
     * @return whether the upstream has capacity
     */
    boolean hasCapacity(Candidate candidate, Call call, CapacityAllowance allowance);
}
