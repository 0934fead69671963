package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.messages.EvidenceEntry;
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.rules.MoveRule;

/** Starts at most one attempt for each grant and settles its cost when the attempt ends. */
final class DispatchHandler {

    private final SidecarIdentity identity;
    private final AccountLedger accounts;

    DispatchHandler(SidecarIdentity identity, AccountLedger accounts) {
        this.identity = identity;
        this.accounts = accounts;
    }

    Transition<SidecarState, SidecarAction> dispatchArrived(
            SidecarState state, SidecarEvent.DispatchArrived event, Instant now) {
        OutstandingGrant grant = state.work().grants().get(event.grant());
        if (grant == null) {
            return decline(state, event, NotRunReason.GRANT_UNKNOWN);
        }
        return reasonToDecline(state, grant, now)
                .map(reason -> decline(withdraw(state, event.grant()), event, reason))
                .orElseGet(() -> beginAttempt(state, event, grant, now));
    }

    Transition<SidecarState, SidecarAction> responseProgressed(
            SidecarState state, SidecarEvent.ResponseProgressed event, Instant now) {
        RunningAttempt running = state.work().running().get(event.grant());
        if (running == null || event.cost() <= running.charge()) {
            return Transition.to(state);
        }
        SidecarState charged = accounts.charge(state, running.account(), event.cost() - running.charge());
        return Transition.to(charged.with(charged.work().progressed(event.grant(), running.withCharge(event.cost()))));
    }

    Transition<SidecarState, SidecarAction> attemptEnded(
            SidecarState state, SidecarEvent.AttemptEnded event, Instant now) {
        RunningAttempt running = state.work().running().get(event.grant());
        if (running == null) {
            return Transition.to(state);
        }
        int inFlight = state.work().running().size();
        SidecarState ended = state.with(state.work().ended(event.grant()))
                .with(state.upstream().requestsChanged(now));
        return settle(ended, running, event.outcome(), inFlight, now);
    }

    Transition<SidecarState, SidecarAction> grantReturned(SidecarState state, GrantReturn message) {
        OutstandingGrant grant = state.work().grants().get(message.grant());
        if (grant == null) {
            return Transition.to(state);
        }
        SidecarState withdrawn = withdraw(state, message.grant());
        RouterDemand demand = withdrawn.routers().get(grant.router());
        return Transition.to(
                demand == null
                        ? withdrawn
                        : withdrawn.with(withdrawn.routers().plus(grant.router(), demand.minus(grant.account()))));
    }

    /** Withdraws an unused grant before the report is sent, so that a late dispatch cannot start the attempt. */
    Transition<SidecarState, SidecarAction> attemptQueried(SidecarState state, NodeName router, AttemptQuery query) {
        boolean ownGrant = query.grant().sidecar().equals(identity.node())
                && query.grant().incarnation().equals(identity.incarnation());
        AttemptReport.State attemptState = ownGrant ? state.work().state(query.grant()) : AttemptReport.State.FORGOTTEN;
        return Transition.<SidecarState, SidecarAction>to(withdraw(state, query.grant()))
                .then(new SidecarAction.SendMessage(router, new AttemptReport(query.attempt(), attemptState)));
    }

    Transition<SidecarState, SidecarAction> expireGrants(SidecarState state, Instant now) {
        Stream<Map.Entry<GrantIdentifier, OutstandingGrant>> expired = state.work().grants().entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().expiresAt()));
        return Transition.<SidecarState, SidecarAction>to(state)
                .forEach(expired, (next, entry) -> Transition.<SidecarState, SidecarAction>to(
                                withdraw(next, entry.getKey()))
                        .then(new SidecarAction.GrantExpired(
                                entry.getKey(), entry.getValue().account())));
    }

    private Optional<NotRunReason> reasonToDecline(SidecarState state, OutstandingGrant grant, Instant now) {
        UpstreamProfile profile = identity.profile();
        if (!now.isBefore(grant.expiresAt())) {
            return Optional.of(NotRunReason.GRANT_EXPIRED);
        }
        if (!state.rules().isInService(profile.failureDomain())) {
            return Optional.of(NotRunReason.FAILURE_DOMAIN_OUT);
        }
        return state.moveStatus().isSuspended(state.rules(), profile.target(), profile.version())
                ? Optional.of(NotRunReason.VERSION_SUSPENDED)
                : Optional.empty();
    }

    private static Transition<SidecarState, SidecarAction> decline(
            SidecarState state, SidecarEvent.DispatchArrived event, NotRunReason reason) {
        return Transition.<SidecarState, SidecarAction>to(state)
                .then(new SidecarAction.DeclineAttempt(event.attempt(), event.grant(), reason));
    }

    private static Transition<SidecarState, SidecarAction> beginAttempt(
            SidecarState state, SidecarEvent.DispatchArrived event, OutstandingGrant grant, Instant now) {
        RunningAttempt running =
                new RunningAttempt(event.attempt(), grant.account(), event.hint(), event.route(), grant.charge());
        SidecarState next = state.with(state.work().started(event.grant(), running))
                .with(state.upstream().requestsChanged(now));
        return Transition.<SidecarState, SidecarAction>to(next)
                .then(new SidecarAction.BeginAttempt(event.attempt(), event.grant(), grant.account()));
    }

    private SidecarState withdraw(SidecarState state, GrantIdentifier identifier) {
        OutstandingGrant grant = state.work().grants().get(identifier);
        return grant == null
                ? state
                : accounts.charge(state, grant.account(), -grant.charge())
                        .with(state.work().withdrawn(identifier));
    }

    private Transition<SidecarState, SidecarAction> settle(
            SidecarState state, RunningAttempt running, UpstreamOutcome outcome, int inFlight, Instant now) {
        if (outcome instanceof UpstreamOutcome.Completed completed) {
            return completed(state, running, completed, inFlight, now);
        }
        if (outcome instanceof UpstreamOutcome.NotRun) {
            return turnedCold(settleCharge(state, running, 0), now);
        }
        if (outcome instanceof UpstreamOutcome.ConnectionLost lost) {
            return turnedCold(
                    countEvidence(settleCharge(state, running, lost.cost()), running, EvidenceEntry::withFailure), now);
        }
        UpstreamOutcome.Cancelled cancelled = (UpstreamOutcome.Cancelled) outcome;
        return Transition.to(settleCharge(state, running, cancelled.cost()));
    }

    private Transition<SidecarState, SidecarAction> completed(
            SidecarState state,
            RunningAttempt running,
            UpstreamOutcome.Completed completed,
            int inFlight,
            Instant now) {
        SidecarState settled = settleCharge(state, running, completed.cost());
        if (completed.failed()) {
            SidecarState failed = countEvidence(settled, running, EvidenceEntry::withFailure);
            return completed.overloaded() ? turnedCold(failed, now) : Transition.to(failed);
        }
        Duration firstByte = completed.firstByte();
        SidecarState counted = countEvidence(settled, running, entry -> entry.withSuccess(firstByte.toMillis()));
        return Transition.to(counted.with(counted.upstream().responseReceived(firstByte, inFlight, now))
                .with(counted.estimator().withObservation(running.account(), running.hint(), completed.cost())));
    }

    private SidecarState settleCharge(SidecarState state, RunningAttempt running, long cost) {
        return accounts.charge(state, running.account(), cost - running.charge());
    }

    private static Transition<SidecarState, SidecarAction> turnedCold(SidecarState state, Instant now) {
        UpstreamView cold = state.upstream().turnedCold(now);
        return Transition.<SidecarState, SidecarAction>to(state.with(cold))
                .then(new SidecarAction.UpstreamTurnedCold(cold.limit().current()));
    }

    /** Records evidence on the upstream's version while a move of its model or service is in force. */
    private SidecarState countEvidence(SidecarState state, RunningAttempt running, UnaryOperator<EvidenceEntry> count) {
        UpstreamProfile profile = identity.profile();
        return state.rules()
                .move(profile.target())
                .map(MoveRule::move)
                .map(move -> EvidenceEntry.empty(identity.ledgerWriter(), move, profile.version(), running.route()))
                .map(empty -> state.with(state.evidence().count(empty, count)))
                .orElse(state);
    }
}
