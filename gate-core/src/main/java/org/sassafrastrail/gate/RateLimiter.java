package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.gate.limit.NamedLimit;
import org.sassafrastrail.gate.limit.PermitStock;
import org.sassafrastrail.gate.limit.Permits;

/**
 * Issues and asks for permits, one a request, for upstreams with a limit. For each upstream, rendezvous hashing over the
 * connected gateways names one as the issuer. An issuer that is connected to few gateways issues their share of the limit, and
 * any other gateway that is asked issues the share of one, so that the permits of a split fleet add up to little more than
 * the limit.
 */
final class RateLimiter {

    /**
     * An issuer that is connected to this share of the gateways issues the whole limit, because the others have most likely
     * stopped. If they are only cut off, they issue at most the remaining share beside it.
     */
    private static final double SHARE_THAT_ISSUES_ALL = 0.75;

    /** Returns whether a request can be sent to an upstream; one without a limit is always open. */
    PermitStock.Status status(GatewayState state, Upstream upstream, Instant now) {
        UpstreamIncarnation incarnation = upstream.incarnation();
        return state.rateLimits().inForce(incarnation).isEmpty()
                ? PermitStock.Status.OPEN
                : state.permits().stock(incarnation).status(now);
    }

    /** Returns until when no permit for an upstream can be had, empty if one can be asked for or none is needed. */
    Optional<Instant> closedUntil(GatewayState state, Upstream upstream, Instant now) {
        return status(state, upstream, now) == PermitStock.Status.CLOSED
                ? Optional.of(state.permits().stock(upstream.incarnation()).availableAt())
                : Optional.empty();
    }

    /** Uses the permit for a request, if the upstream has a limit. */
    GatewayState used(GatewayState state, Upstream upstream) {
        UpstreamIncarnation incarnation = upstream.incarnation();
        return state.rateLimits().inForce(incarnation).isEmpty()
                ? state
                : state.with(state.permits()
                        .with(incarnation, state.permits().stock(incarnation).used()));
    }

    /** Asks for a permit, of another gateway or of this one itself. */
    Transition<GatewayState, GatewayAction> ask(GatewayState state, Upstream upstream, Instant now) {
        UpstreamIncarnation incarnation = upstream.incarnation();
        String issuer = state.peers().issuer(incarnation.upstream());
        GatewayState asked = state.with(state.permits()
                .with(incarnation, state.permits().stock(incarnation).asked(now)));
        if (state.peers().isSelf(issuer)) {
            Permits.Answer answer = issue(asked, incarnation, now);
            return answered(asked.with(answer.permits()), upstream, answer.granted(), answer.delay(), now);
        }
        return Transition.<GatewayState, GatewayAction>to(asked)
                .then(new GatewayAction.RequestPermit(issuer, state.rateLimits().report(incarnation, now)));
    }

    /** Takes note of the answer to a permit request. */
    Transition<GatewayState, GatewayAction> answered(
            GatewayState state, Upstream upstream, boolean granted, Duration delay, Instant now) {
        UpstreamIncarnation incarnation = upstream.incarnation();
        PermitStock before = state.permits().stock(incarnation);
        PermitStock after = before.answered(granted, delay, now);
        if (after == before) {
            return Transition.to(state);
        }
        Transition<GatewayState, GatewayAction> next =
                Transition.to(state.with(state.permits().with(incarnation, after)));
        return granted ? next : next.then(new GatewayAction.ReportHeldBack(upstream.identifier()));
    }

    /** Answers a peer's permit request. */
    Transition<GatewayState, GatewayAction> answer(
            GatewayState state, String peer, UpstreamIncarnation upstream, Instant now) {
        Permits.Answer answer = issue(state, upstream, now);
        return Transition.<GatewayState, GatewayAction>to(state.with(answer.permits()))
                .then(new GatewayAction.AnswerPermitRequest(peer, upstream, answer.granted(), answer.delay()));
    }

    private static Permits.Answer issue(GatewayState state, UpstreamIncarnation upstream, Instant now) {
        double limit = state.rateLimits()
                .inForce(upstream)
                .map(NamedLimit::permitsPerSecond)
                .orElse(Double.POSITIVE_INFINITY);
        return state.permits().issue(upstream, limit * issuedPart(state.peers(), upstream), now);
    }

    private static double issuedPart(Peers peers, UpstreamIncarnation upstream) {
        if (!peers.isSelf(peers.issuer(upstream.upstream()))) {
            return 1.0 / peers.gateways();
        }
        double connected = peers.connectedShare();
        return connected >= SHARE_THAT_ISSUES_ALL ? 1 : connected;
    }
}
