package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.model.GrantReturnReason;

/** Uses each offered grant for the oldest eligible request of its client account, or returns the grant immediately. */
final class GrantHandler {

    private final Eligibility eligibility;

    GrantHandler(Eligibility eligibility) {
        this.eligibility = eligibility;
    }

    Transition<RouterState, RouterAction> offered(RouterState state, SidecarLink link, GrantOffer offer, Instant now) {
        Optional<GrantReturnReason> reason = eligibility.rejectionReason(state, link);
        if (reason.isPresent()) {
            return returnGrant(state.with(link.grantConsumed(offer.account())), link, offer, reason.get());
        }
        LedgerKey key = new LedgerKey(link.profile().target(), offer.account());
        return state.queues()
                .oldestEligible(key, link.node(), now)
                .map(queued -> dispatch(state.with(link.grantConsumed(offer.account())), link, offer, queued))
                .orElseGet(() -> returnGrant(
                        state.with(link.withoutDemand(offer.account())), link, offer, GrantReturnReason.NO_DEMAND));
    }

    private Transition<RouterState, RouterAction> dispatch(
            RouterState state, SidecarLink link, GrantOffer offer, QueuedRequest queued) {
        RouterRequest request = queued.request();
        RunningRequest running = RunningRequest.dispatched(queued.withAttempt(), offer.grant());
        RouterState next = state.with(state.queues().minus(queued))
                .withRunning(state.running().plus(request.identifier(), running))
                .with(eligibility.countDispatch(state, link.profile()));
        return Transition.<RouterState, RouterAction>to(next)
                .then(new RouterAction.Dispatch(request, running.attempt(), offer.grant()));
    }

    private static Transition<RouterState, RouterAction> returnGrant(
            RouterState state, SidecarLink link, GrantOffer offer, GrantReturnReason reason) {
        return Transition.<RouterState, RouterAction>to(state)
                .then(new RouterAction.SendMessage(link.node(), new GrantReturn(offer.grant(), reason)))
                .then(new RouterAction.GrantReturned(offer.grant(), reason));
    }
}
