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
 * @param pendingClaims requests that wait for their idempotency key
 * @param running requests with an attempt under way
 * @param sidecars the linked sidecars
 * @param ledger the service given, as far as heard
 * @param evidence the evidence on versions, as far as heard
 * @param moveStatus the moves, as far as heard
 * @param dispatchCounts this router's dispatches since the last step of each move
 * @param retryPolicy whether another try is allowed
 * @param lifecycle whether the router takes requests, and its last ticks
 */
public record RouterState(
        NodeConfiguration configuration,
        RequestQueues queues,
        PMap<RequestIdentifier, RouterRequest> pendingClaims,
        PMap<RequestIdentifier, RunningRequest> running,
        PMap<NodeName, SidecarLink> sidecars,
        ServiceLedger ledger,
        EvidenceLedger evidence,
        MoveRegistry moveStatus,
        VersionDispatchCounts dispatchCounts,
        RetryPolicy retryPolicy,
        Lifecycle lifecycle) {

    /**
     * Starts with empty memory.
     *
     * @param retryPolicy whether another try is allowed
     * @param now the time
     * @return the state of a router that knows nothing yet
     */
    public static RouterState start(RetryPolicy retryPolicy, Instant now) {
        return new RouterState(
                NodeConfiguration.NONE,
                RequestQueues.EMPTY,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                ServiceLedger.EMPTY,
                EvidenceLedger.EMPTY,
                MoveRegistry.EMPTY,
                VersionDispatchCounts.EMPTY,
                retryPolicy,
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
        return queues.size() == 0 && pendingClaims.isEmpty() && running.isEmpty();
    }

    RouterState with(NodeConfiguration next) {
        return new RouterState(
                next,
                queues,
                pendingClaims,
                running,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState with(RequestQueues next) {
        return new RouterState(
                configuration,
                next,
                pendingClaims,
                running,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState withPendingClaims(PMap<RequestIdentifier, RouterRequest> next) {
        return new RouterState(
                configuration,
                queues,
                next,
                running,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState withRunning(PMap<RequestIdentifier, RunningRequest> next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                next,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState withSidecars(PMap<NodeName, SidecarLink> next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                next,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState with(SidecarLink link) {
        return withSidecars(sidecars.plus(link.node(), link));
    }

    RouterState with(ServiceLedger next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                sidecars,
                next,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState with(EvidenceLedger next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                sidecars,
                ledger,
                next,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState with(MoveRegistry next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                sidecars,
                ledger,
                evidence,
                next,
                dispatchCounts,
                retryPolicy,
                lifecycle);
    }

    RouterState with(VersionDispatchCounts next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                next,
                retryPolicy,
                lifecycle);
    }

    RouterState with(RetryPolicy next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                next,
                lifecycle);
    }

    RouterState with(Lifecycle next) {
        return new RouterState(
                configuration,
                queues,
                pendingClaims,
                running,
                sidecars,
                ledger,
                evidence,
                moveStatus,
                dispatchCounts,
                retryPolicy,
                next);
    }
}
