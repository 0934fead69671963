package org.sassafrastrail.router.core;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.decision.Lifecycle;
import org.sassafrastrail.fairness.ServiceLedger;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.rollout.EvidenceLedger;
import org.sassafrastrail.rollout.MoveRegistry;
import org.sassafrastrail.rules.NodeConfiguration;
import org.sassafrastrail.rules.RuleSet;

/**
 * Everything a router knows.
 *
 * @param configuration the configuration in force
 * @param queues the waiting requests
 * @param claiming requests that wait for their idempotency key
 * @param running requests with an attempt under way
 * @param sidecars the linked sidecars
 * @param ledger the service given, as far as heard
 * @param evidence the evidence on versions, as far as heard
 * @param board the moves, as far as heard
 * @param shares this router's dispatches since the last step of each move
 * @param retries whether another try is allowed
 * @param lifecycle whether the router takes requests, and its last ticks
 */
public record RouterState(
        NodeConfiguration configuration,
        RequestQueues queues,
        PMap<RequestIdentifier, RouterRequest> claiming,
        PMap<RequestIdentifier, RunningRequest> running,
        PMap<NodeName, SidecarLink> sidecars,
        ServiceLedger ledger,
        EvidenceLedger evidence,
        MoveRegistry board,
        VersionShares shares,
        RetryPolicy retries,
        Lifecycle lifecycle) {

    /**
     * Starts with empty memory.
     *
     * @param retries whether another try is allowed
     * @param now the time
     * @return the state of a router that knows nothing yet
     */
    public static RouterState start(RetryPolicy retries, Instant now) {
        return new RouterState(
                NodeConfiguration.NONE,
                RequestQueues.EMPTY,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                ServiceLedger.EMPTY,
                EvidenceLedger.EMPTY,
                MoveRegistry.EMPTY,
                VersionShares.EMPTY,
                retries,
                Lifecycle.start(now));
    }

    /**
     * Returns the rules in force.
     *
     * @return the rules
     */
    public RuleSet rules() {
        return configuration.rules();
    }

    /**
     * Tells whether no request waits or runs.
     *
     * @return whether the router has nothing left to answer
     */
    public boolean idle() {
        return queues.size() == 0 && claiming.isEmpty() && running.isEmpty();
    }

    RouterState with(NodeConfiguration next) {
        return new RouterState(
                next, queues, claiming, running, sidecars, ledger, evidence, board, shares, retries, lifecycle);
    }

    RouterState with(RequestQueues next) {
        return new RouterState(
                configuration, next, claiming, running, sidecars, ledger, evidence, board, shares, retries, lifecycle);
    }

    RouterState withClaiming(PMap<RequestIdentifier, RouterRequest> next) {
        return new RouterState(
                configuration, queues, next, running, sidecars, ledger, evidence, board, shares, retries, lifecycle);
    }

    RouterState withRunning(PMap<RequestIdentifier, RunningRequest> next) {
        return new RouterState(
                configuration, queues, claiming, next, sidecars, ledger, evidence, board, shares, retries, lifecycle);
    }

    RouterState withSidecars(PMap<NodeName, SidecarLink> next) {
        return new RouterState(
                configuration, queues, claiming, running, next, ledger, evidence, board, shares, retries, lifecycle);
    }

    RouterState with(SidecarLink link) {
        return withSidecars(sidecars.plus(link.node(), link));
    }

    RouterState with(ServiceLedger next) {
        return new RouterState(
                configuration, queues, claiming, running, sidecars, next, evidence, board, shares, retries, lifecycle);
    }

    RouterState with(EvidenceLedger next) {
        return new RouterState(
                configuration, queues, claiming, running, sidecars, ledger, next, board, shares, retries, lifecycle);
    }

    RouterState with(MoveRegistry next) {
        return new RouterState(
                configuration, queues, claiming, running, sidecars, ledger, evidence, next, shares, retries, lifecycle);
    }

    RouterState with(VersionShares next) {
        return new RouterState(
                configuration, queues, claiming, running, sidecars, ledger, evidence, board, next, retries, lifecycle);
    }

    RouterState with(RetryPolicy next) {
        return new RouterState(
                configuration, queues, claiming, running, sidecars, ledger, evidence, board, shares, next, lifecycle);
    }

    RouterState with(Lifecycle next) {
        return new RouterState(
                configuration, queues, claiming, running, sidecars, ledger, evidence, board, shares, retries, next);
    }
}
