package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;
import java.util.LongSummaryStatistics;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.fairness.CostEstimator;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.ServiceLedger;
import org.sassafrastrail.fairness.ServiceUnits;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.rollout.EvidenceLedger;
import org.sassafrastrail.rollout.MoveBoard;
import org.sassafrastrail.rules.RuleDocument;
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
 * @param board the moves, as far as heard
 * @param lifecycle whether the sidecar grants, and its last ticks
 */
public record SidecarState(
        Configuration configuration,
        UpstreamView upstream,
        PMap<NodeName, RouterDemand> routers,
        Work work,
        ServiceLedger ledger,
        CostEstimator estimator,
        EvidenceLedger evidence,
        MoveBoard board,
        Lifecycle lifecycle) {

    /**
     * The configuration in force.
     *
     * @param document the rule file
     * @param rules its rules
     * @param confirmed whether the sidecar may rely on it; not after a pause, until a router was heard
     * @param askedAt when a router was last asked for a newer one
     */
    public record Configuration(RuleDocument document, RuleSet rules, boolean confirmed, Instant askedAt) {

        /** One router is asked at a time, and another one if it does not answer. */
        private static final Duration ASK_AGAIN = Duration.ofSeconds(1);

        boolean usable() {
            return confirmed && !document.revision().equals(Revision.NONE);
        }

        Configuration confirmed(boolean next) {
            return new Configuration(document, rules, next, askedAt);
        }

        Configuration asked(Instant now) {
            return new Configuration(document, rules, confirmed, now);
        }

        boolean shouldAsk(Revision heard, Instant now) {
            boolean waiting = Duration.between(askedAt, now).compareTo(ASK_AGAIN) < 0;
            return heard.isNewerThan(document.revision()) && !waiting;
        }
    }

    /**
     * Grants and attempts.
     *
     * @param grants grants that were offered and not yet used
     * @param running requests that the upstream runs
     * @param begun which grants were used
     * @param lastSequence the number of the last grant
     */
    public record Work(
            PMap<GrantIdentifier, OutstandingGrant> grants,
            PMap<GrantIdentifier, RunningAttempt> running,
            BegunAttempts begun,
            long lastSequence) {

        AttemptReport.State state(GrantIdentifier grant) {
            return running.containsKey(grant) ? AttemptReport.State.RUNNING : begun.state(grant);
        }

        /**
         * Counts grants and attempts.
         *
         * @return how many places of the upstream are taken
         */
        public int size() {
            return grants.size() + running.size();
        }

        Work granted(GrantIdentifier identifier, OutstandingGrant grant) {
            return new Work(
                    grants.plus(identifier, grant),
                    running,
                    begun.granted(identifier.sequence()),
                    identifier.sequence());
        }

        Work withdrawn(GrantIdentifier grant) {
            return new Work(grants.minus(grant), running, begun, lastSequence);
        }

        Work began(GrantIdentifier grant, RunningAttempt attempt) {
            return new Work(grants.minus(grant), running.plus(grant, attempt), begun.plus(grant), lastSequence);
        }

        Work progressed(GrantIdentifier grant, RunningAttempt attempt) {
            return new Work(grants, running.plus(grant, attempt), begun, lastSequence);
        }

        Work ended(GrantIdentifier grant) {
            return new Work(grants, running.minus(grant), begun, lastSequence);
        }
    }

    /**
     * Whether the sidecar grants, and its last ticks.
     *
     * @param leaving whether it makes no new grant
     * @param lastTick the last tick
     * @param lastSharing when ledger entries were last shared
     * @param lastHeartbeat when the sidecar last said that it is alive
     */
    public record Lifecycle(boolean leaving, Instant lastTick, Instant lastSharing, Instant lastHeartbeat) {

        Lifecycle left() {
            return new Lifecycle(true, lastTick, lastSharing, lastHeartbeat);
        }

        Lifecycle ticked(Instant now) {
            return new Lifecycle(leaving, now, lastSharing, lastHeartbeat);
        }

        Lifecycle shared(Instant now) {
            return new Lifecycle(leaving, lastTick, now, lastHeartbeat);
        }

        Lifecycle beaten(Instant now) {
            return new Lifecycle(leaving, lastTick, lastSharing, now);
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
                new Configuration(RuleDocument.NONE, RuleSet.EMPTY, false, Instant.EPOCH),
                UpstreamView.unknown(limit, now),
                HashTreePMap.empty(),
                new Work(HashTreePMap.empty(), HashTreePMap.empty(), BegunAttempts.NONE, 0),
                ServiceLedger.EMPTY,
                estimator,
                EvidenceLedger.EMPTY,
                MoveBoard.EMPTY,
                new Lifecycle(false, now, now, now));
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

    SidecarState with(Configuration next) {
        return new SidecarState(next, upstream, routers, work, ledger, estimator, evidence, board, lifecycle);
    }

    SidecarState with(UpstreamView next) {
        return new SidecarState(configuration, next, routers, work, ledger, estimator, evidence, board, lifecycle);
    }

    SidecarState with(PMap<NodeName, RouterDemand> next) {
        return new SidecarState(configuration, upstream, next, work, ledger, estimator, evidence, board, lifecycle);
    }

    SidecarState with(Work next) {
        return new SidecarState(configuration, upstream, routers, next, ledger, estimator, evidence, board, lifecycle);
    }

    SidecarState with(ServiceLedger next) {
        return new SidecarState(configuration, upstream, routers, work, next, estimator, evidence, board, lifecycle);
    }

    SidecarState with(CostEstimator next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, next, evidence, board, lifecycle);
    }

    SidecarState with(EvidenceLedger next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, estimator, next, board, lifecycle);
    }

    SidecarState with(MoveBoard next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, estimator, evidence, next, lifecycle);
    }

    SidecarState with(Lifecycle next) {
        return new SidecarState(configuration, upstream, routers, work, ledger, estimator, evidence, board, next);
    }
}
