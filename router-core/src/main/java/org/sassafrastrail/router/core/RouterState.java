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
 * The state of a router.
 *
 * @param configuration the configuration in force
 * @param queues the queued requests
 * @param pendingClaims requests whose idempotency key is being claimed
 * @param running the requests with an attempt in flight
 * @param sidecars the linked sidecars
 * @param ledger the service received by each client account, as far as reported to this router
 * @param evidence the evidence on versions, as far as reported to this router
 * @param moveRegistry the steps and suspensions of moves, as far as reported to this router
 * @param dispatchCounts the dispatches of this router during each move since the share of the new version last changed
 * @param retryPolicy decides whether a request is retried
 * @param lifecycle whether the router is shutting down, and when its periodic work last ran
 */
public record RouterState(
        NodeConfiguration configuration,
        RequestQueues queues,
        PMap<RequestIdentifier, RouterRequest> pendingClaims,
        PMap<RequestIdentifier, RunningRequest> running,
        PMap<NodeName, SidecarLink> sidecars,
        ServiceLedger ledger,
        EvidenceLedger evidence,
        MoveRegistry moveRegistry,
        VersionDispatchCounts dispatchCounts,
        RetryPolicy retryPolicy,
        Lifecycle lifecycle) {

    /**
     * Returns the initial state of a router, without configuration, requests or sidecars.
     *
     * @param retryPolicy decides whether a request is retried
     * @param now the current time
     * @return the initial state
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
     * @return the rules of the current configuration
     */
    public RuleSet rules() {
        return configuration.rules();
    }

    /**
     * Returns whether the router has no requests.
     *
     * @return whether no request is queued, in flight or waiting for its idempotency key
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
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
                moveRegistry,
                dispatchCounts,
                retryPolicy,
                next);
    }
}
