package org.sassafrastrail.sidecar.core;

import java.time.Instant;
import java.util.LongSummaryStatistics;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.decision.Lifecycle;
import org.sassafrastrail.fairness.CostEstimator;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.ServiceLedger;
import org.sassafrastrail.fairness.ServiceUnits;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.rollout.EvidenceLedger;
import org.sassafrastrail.rollout.MoveRegistry;
import org.sassafrastrail.rules.NodeConfiguration;
import org.sassafrastrail.rules.RuleSet;

/**
 * Complete state of a sidecar's core.
 *
 * @param configuration the configuration in force
 * @param upstream the view of the upstream
 * @param routers the demand at each linked router
 * @param work outstanding grants and attempts in flight
 * @param ledger the service received by each account across the fleet, as far as reported
 * @param estimator estimates the cost of requests
 * @param evidence the evidence collected on the version of the upstream
 * @param moveStatus the progress of version moves, as far as reported
 * @param lifecycle whether the sidecar is stopping, and when its periodic work last ran
 */
public record SidecarState(
        NodeConfiguration configuration,
        UpstreamView upstream,
        PMap<NodeName, RouterDemand> routers,
        Work work,
        ServiceLedger ledger,
        CostEstimator estimator,
        EvidenceLedger evidence,
        MoveRegistry moveStatus,
        Lifecycle lifecycle) {

    /**
     * Outstanding grants and attempts in flight.
     *
     * @param grants grants that were offered and not yet used
     * @param running attempts in flight at the upstream
     * @param usedGrants the history of used grants
     * @param lastSequence the sequence number of the last grant
     */
    public record Work(
            PMap<GrantIdentifier, OutstandingGrant> grants,
            PMap<GrantIdentifier, RunningAttempt> running,
            UsedGrants usedGrants,
            long lastSequence) {

        AttemptReport.State state(GrantIdentifier grant) {
            return running.containsKey(grant) ? AttemptReport.State.RUNNING : usedGrants.state(grant);
        }

        /**
         * Returns the number of slots in use, by outstanding grants or by attempts in flight.
         *
         * @return the number of used slots of the upstream
         */
        public int usedSlots() {
            return grants.size() + running.size();
        }

        Work granted(GrantIdentifier identifier, OutstandingGrant grant) {
            return new Work(
                    grants.plus(identifier, grant),
                    running,
                    usedGrants.granted(identifier.sequence()),
                    identifier.sequence());
        }

        Work withdrawn(GrantIdentifier grant) {
            return new Work(grants.minus(grant), running, usedGrants, lastSequence);
        }

        Work started(GrantIdentifier grant, RunningAttempt attempt) {
            return new Work(grants.minus(grant), running.plus(grant, attempt), usedGrants.plus(grant), lastSequence);
        }

        Work progressed(GrantIdentifier grant, RunningAttempt attempt) {
            return new Work(grants, running.plus(grant, attempt), usedGrants, lastSequence);
        }

        Work ended(GrantIdentifier grant) {
            return new Work(grants, running.minus(grant), usedGrants, lastSequence);
        }
    }

    /**
     * Returns the initial state of a sidecar.
     *
     * @param limit the initial concurrency limit
     * @param estimator estimates the cost of requests
     * @param now the current time
     * @return the initial state, without links, grants or rules
     */
    public static SidecarState start(ConcurrencyLimit limit, CostEstimator estimator, Instant now) {
        return new SidecarState(
                NodeConfiguration.NONE,
                UpstreamView.unknown(limit, now),
                HashTreePMap.empty(),
                new Work(HashTreePMap.empty(), HashTreePMap.empty(), UsedGrants.NONE, 0),
                ServiceLedger.EMPTY,
                estimator,
                EvidenceLedger.EMPTY,
                MoveRegistry.EMPTY,
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
     * Returns the largest difference in weighted service between two backlogged client accounts, as far as reported.
     *
     * @param target the model or service
     * @return the difference in tokens of an account of weight one; 0 if fewer than two accounts are backlogged
     */
    public long fairnessGap(TargetName target) {
        LongSummaryStatistics totals = routers.values().stream()
                .flatMap(demand -> demand.accounts().keySet().stream())
                .mapToLong(account -> ledger.total(new LedgerKey(target, account)))
                .summaryStatistics();
        return totals.getCount() == 0 ? 0 : (totals.getMax() - totals.getMin()) / ServiceUnits.PER_TOKEN;
    }

    SidecarState with(NodeConfiguration next) {
        return new SidecarState(next, upstream, routers, work, ledger, estimator, evidence, moveStatus, lifecycle);
    }

    SidecarState with(UpstreamView next) {
        return new SidecarState(configuration, next, routers, work, ledger, estimator, evidence, moveStatus, lifecycle);
    }

    SidecarState with(PMap<NodeName, RouterDemand> next) {
        return new SidecarState(
                configuration, upstream, next, work, ledger, estimator, evidence, moveStatus, lifecycle);
    }

    SidecarState with(Work next) {
        return new SidecarState(
                configuration, upstream, routers, next, ledger, estimator, evidence, moveStatus, lifecycle);
    }

    SidecarState with(ServiceLedger next) {
        return new SidecarState(
                configuration, upstream, routers, work, next, estimator, evidence, moveStatus, lifecycle);
    }

    SidecarState with(CostEstimator next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, next, evidence, moveStatus, lifecycle);
    }

    SidecarState with(EvidenceLedger next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, estimator, next, moveStatus, lifecycle);
    }

    SidecarState with(MoveRegistry next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, estimator, evidence, next, lifecycle);
    }

    SidecarState with(Lifecycle next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, estimator, evidence, moveStatus, next);
    }
}
