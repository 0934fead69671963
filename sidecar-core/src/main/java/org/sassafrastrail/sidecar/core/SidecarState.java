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
 * Everything a sidecar knows.
 *
 * @param configuration the configuration in force
 * @param upstream what is known of the upstream
 * @param routers what waits at each linked router
 * @param work grants and attempts
 * @param ledger the service given, over the whole fleet as far as heard
 * @param estimator estimates costs
 * @param evidence what was seen of this upstream's version
 * @param moveStatus the moves, as far as heard
 * @param lifecycle whether the sidecar grants, and its last ticks
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
     * Grants and attempts.
     *
     * @param grants grants that were offered and not yet used
     * @param running requests that the upstream runs
     * @param usedGrants which grants were used
     * @param lastSequence the number of the last grant
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
         * Counts grants and attempts.
         *
         * @return how many places of the upstream are taken
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
     * Starts with empty memory.
     *
     * @param limit how many requests the upstream may run at once
     * @param estimator estimates costs
     * @param now the time
     * @return the state of a sidecar that knows nothing yet
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
     * Returns the largest difference in weighted service between two client accounts that wait, as far as heard.
     *
     * @param target the model or service
     * @return tokens of an account of weight one; 0 if fewer than two accounts wait
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
