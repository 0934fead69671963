package org.sassafrastrail.router.core;

import java.util.Optional;

import org.sassafrastrail.model.GrantReturnReason;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.rules.MoveRule;
import org.sassafrastrail.rules.RuleSet;

/** Decides whether this router may dispatch requests to an upstream now. */
final class Eligibility {

    /** Returns why no request may be dispatched to an upstream; empty if it is eligible. */
    Optional<GrantReturnReason> rejectionReason(RouterState state, SidecarLink link) {
        UpstreamProfile profile = link.profile();
        if (!state.configuration().isUsable()) {
            return Optional.of(GrantReturnReason.CONFIGURATION_UNCONFIRMED);
        }
        if (link.leaving()) {
            return Optional.of(GrantReturnReason.VM_LEAVING);
        }
        RuleSet rules = state.rules();
        if (!rules.isInService(profile.failureDomain())) {
            return Optional.of(GrantReturnReason.FAILURE_DOMAIN_OUT);
        }
        if (state.moveRegistry().isSuspended(rules, profile.target(), profile.version())) {
            return Optional.of(GrantReturnReason.VERSION_SUSPENDED);
        }
        return remainingDispatches(state, profile) > 0
                ? Optional.empty()
                : Optional.of(GrantReturnReason.VERSION_SHARE_REACHED);
    }

    /** Returns how many more requests this router may dispatch to the version of an upstream. */
    long remainingDispatches(RouterState state, UpstreamProfile profile) {
        TrafficShare share = state.moveRegistry().share(state.rules(), profile.target(), profile.version());
        if (share.equals(TrafficShare.NONE)) {
            return 0;
        }
        return newVersionMove(state, profile)
                .map(move -> state.dispatchCounts().remaining(move, share))
                .orElse(Long.MAX_VALUE);
    }

    /** Returns the dispatch counts after a dispatch to an upstream. */
    VersionDispatchCounts countDispatch(RouterState state, UpstreamProfile profile) {
        Optional<MoveIdentifier> move = state.rules().move(profile.target()).map(MoveRule::move);
        return move.map(present -> state.dispatchCounts()
                        .plus(
                                present,
                                state.moveRegistry().share(state.rules(), profile.target(), present.to()),
                                present.to().equals(profile.version())))
                .orElse(state.dispatchCounts());
    }

    private static Optional<MoveIdentifier> newVersionMove(RouterState state, UpstreamProfile profile) {
        return state.rules().move(profile.target()).map(MoveRule::move).filter(move -> move.to()
                .equals(profile.version()));
    }
}
