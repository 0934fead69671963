package org.sassafrastrail.gate;

import java.util.List;
import java.util.Optional;

/** Where a request goes, of the upstreams that may get it. */
interface Placement {

    /**
     * A place for a request.
     *
     * @param candidate the upstream
     * @param prefillTokens the tokens of its prompt that the upstream is believed not to have cached
     */
    record Place(Candidate candidate, long prefillTokens) {}

    /**
     * An upstream that may get a request.
     *
     * @param upstream what this gateway knows of it
     * @param elsewhere what the other gateways have there
     */
    record Candidate(UpstreamState upstream, PeerLoad elsewhere) {

        UpstreamIdentifier identifier() {
            return upstream.upstream().identifier();
        }

        int running() {
            return upstream.running() + elsewhere.running();
        }

        long pendingPrefillTokens() {
            return upstream.pendingPrefillTokens() + elsewhere.pendingPrefillTokens();
        }
    }

    /**
     * How much of the upstreams' room a request may take.
     *
     * @param unheard by how much the load that is known has to be taken, because not all gateways are heard from
     * @param share the share of the wait at upstreams that it may use up, 1 for all
     */
    record Room(double unheard, double share) {}

    /**
     * Chooses a place.
     *
     * @param call the request
     * @param candidates the upstreams that may get it
     * @param room how much of the upstreams' room the request may take
     * @return the place, or empty if the request had better wait here
     */
    Optional<Place> place(Call call, List<Candidate> candidates, Room room);

    /**
     * Tells whether an upstream has room for a request.
     *
     * @param candidate the upstream
     * @param call the request
     * @param room how much of the upstreams' room the request may take
     * @return whether it has
     */
    boolean admits(Candidate candidate, Call call, Room room);
}
