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

/** Begins attempts, each grant's once, and settles what they cost. */
final class DispatchHandler {

    private final SidecarIdentity identity;
    private final Accounts accounts;

    DispatchHandler(SidecarIdentity identity, Accounts accounts) {
        this.identity = identity;
        this.accounts = accounts;
    }

    Transition<SidecarState, SidecarAction> arrived(
            SidecarState state, SidecarEvent.DispatchArrived event, Instant now) {
        OutstandingGrant grant = state.work().grants().get(event.grant());
        if (grant == null) {
            return decline(state, event, NotRunReason.GRANT_UNKNOWN);
        }
        return objection(state, grant, now)
                .map(reason -> decline(withdraw(state, event.grant()), event, reason))
                .orElseGet(() -> begin(state, event, grant, now));
    }

    Transition<SidecarState, SidecarAction> progressed(
            SidecarState state, SidecarEvent.AnswerProgressed event, Instant now) {
        RunningAttempt running = state.work().running().get(event.grant());
        if (running == null || event.cost() <= running.charge()) {
            return Transition.stay(state);
        }
        SidecarState charged = accounts.charge(state, running.account(), event.cost() - running.charge());
        return Transition.stay(charged.with(charged.work().progressed(event.grant(), running.charged(event.cost()))));
    }

    Transition<SidecarState, SidecarAction> ended(SidecarState state, SidecarEvent.AnswerEnded event, Instant now) {
        RunningAttempt running = state.work().running().get(event.grant());
        if (running == null) {
            return Transition.stay(state);
        }
        int inFlight = state.work().running().size();
        SidecarState ended = state.with(state.work().ended(event.grant()))
                .with(state.upstream().changed(now));
        return settle(ended, running, event.outcome(), inFlight, now);
    }

    Transition<SidecarState, SidecarAction> returned(SidecarState state, GrantReturn message) {
        OutstandingGrant grant = state.work().grants().get(message.grant());
        if (grant == null) {
            return Transition.stay(state);
        }
        SidecarState withdrawn = withdraw(state, message.grant());
        RouterDemand demand = withdrawn.routers().get(grant.router());
        return Transition.stay(
                demand == null
                        ? withdrawn
                        : withdrawn.with(withdrawn.routers().plus(grant.router(), demand.minus(grant.account()))));
    }

    /** Withdraws an unused grant before it answers, so that a late dispatch can't begin afterwards. */
    Transition<SidecarState, SidecarAction> asked(SidecarState state, NodeName router, AttemptQuery query) {
        boolean mine = query.grant().sidecar().equals(identity.node())
                && query.grant().incarnation().equals(identity.incarnation());
        AttemptReport.State answer = mine ? state.work().state(query.grant()) : AttemptReport.State.FORGOTTEN;
        return Transition.<SidecarState, SidecarAction>stay(withdraw(state, query.grant()))
                .then(new SidecarAction.SendMessage(router, new AttemptReport(query.attempt(), answer)));
    }

    Transition<SidecarState, SidecarAction> expire(SidecarState state, Instant now) {
        Stream<Map.Entry<GrantIdentifier, OutstandingGrant>> expired = state.work().grants().entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().expiresAt()));
        return Transition.<SidecarState, SidecarAction>stay(state)
                .forEach(expired, (next, entry) -> Transition.<SidecarState, SidecarAction>stay(
                                withdraw(next, entry.getKey()))
                        .then(new SidecarAction.Expired(
                                entry.getKey(), entry.getValue().account())));
    }

    private Optional<NotRunReason> objection(SidecarState state, OutstandingGrant grant, Instant now) {
        UpstreamProfile profile = identity.profile();
        if (!now.isBefore(grant.expiresAt())) {
            return Optional.of(NotRunReason.GRANT_EXPIRED);
        }
        if (!state.rules().isInService(profile.failureDomain())) {
            return Optional.of(NotRunReason.FAILURE_DOMAIN_OUT);
        }
        return state.board().isSuspended(state.rules(), profile.target(), profile.version())
                ? Optional.of(NotRunReason.VERSION_SUSPENDED)
                : Optional.empty();
    }

    private static Transition<SidecarState, SidecarAction> decline(
            SidecarState state, SidecarEvent.DispatchArrived event, NotRunReason reason) {
        return Transition.<SidecarState, SidecarAction>stay(state)
                .then(new SidecarAction.Decline(event.attempt(), event.grant(), reason));
    }

    private static Transition<SidecarState, SidecarAction> begin(
            SidecarState state, SidecarEvent.DispatchArrived event, OutstandingGrant grant, Instant now) {
        RunningAttempt running =
                new RunningAttempt(event.attempt(), grant.account(), event.hint(), event.route(), grant.charge());
        SidecarState next = state.with(state.work().began(event.grant(), running))
                .with(state.upstream().changed(now));
        return Transition.<SidecarState, SidecarAction>stay(next)
                .then(new SidecarAction.Begin(event.attempt(), event.grant(), grant.account()));
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
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            return answered(state, running, answered, inFlight, now);
        }
        if (outcome instanceof UpstreamOutcome.NotTaken) {
            return turnCold(pay(state, running, 0), now);
        }
        if (outcome instanceof UpstreamOutcome.Broken broken) {
            return turnCold(count(pay(state, running, broken.cost()), running, EvidenceEntry::withFailure), now);
        }
        UpstreamOutcome.Cancelled cancelled = (UpstreamOutcome.Cancelled) outcome;
        return Transition.stay(pay(state, running, cancelled.cost()));
    }

    private Transition<SidecarState, SidecarAction> answered(
            SidecarState state, RunningAttempt running, UpstreamOutcome.Answered answered, int inFlight, Instant now) {
        SidecarState paid = pay(state, running, answered.cost());
        if (answered.failed()) {
            SidecarState failed = count(paid, running, EvidenceEntry::withFailure);
            return answered.overloaded() ? turnCold(failed, now) : Transition.stay(failed);
        }
        Duration latency = answered.latency();
        SidecarState counted = count(paid, running, entry -> entry.withSuccess(latency.toMillis()));
        return Transition.stay(counted.with(counted.upstream().answered(latency, inFlight, now))
                .with(counted.estimator().withObservation(running.account(), running.hint(), answered.cost())));
    }

    private SidecarState pay(SidecarState state, RunningAttempt running, long cost) {
        return accounts.charge(state, running.account(), cost - running.charge());
    }

    private static Transition<SidecarState, SidecarAction> turnCold(SidecarState state, Instant now) {
        UpstreamView cold = state.upstream().turnedCold(now);
        return Transition.<SidecarState, SidecarAction>stay(state.with(cold))
                .then(new SidecarAction.TurnedCold(cold.limit().current()));
    }

    /** Counts evidence on the upstream's version while a move of its model or service is in force. */
    private SidecarState count(SidecarState state, RunningAttempt running, UnaryOperator<EvidenceEntry> count) {
        UpstreamProfile profile = identity.profile();
        return state.rules()
                .move(profile.target())
                .map(MoveRule::move)
                .map(move -> EvidenceEntry.empty(identity.writer(), move, profile.version(), running.route()))
                .map(empty -> state.with(state.evidence().count(empty, count)))
                .orElse(state);
    }
}
