package org.sassafrastrail.router.core;

import java.util.Optional;

import org.sassafrastrail.model.GrantReturnReason;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.rules.MoveRule;
import org.sassafrastrail.rules.RuleSet;

/** Decides whether an upstream may get work from this router now. */
final class Eligibility {

    /** Tells why an upstream may not get work; empty if it may. */
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
        if (state.moveStatus().isSuspended(rules, profile.target(), profile.version())) {
            return Optional.of(GrantReturnReason.VERSION_SUSPENDED);
        }
        return remainingDispatches(state, profile) > 0
                ? Optional.empty()
                : Optional.of(GrantReturnReason.VERSION_SHARE_REACHED);
    }

    /** Tells how many more requests the upstream's version may get from this router. */
    long remainingDispatches(RouterState state, UpstreamProfile profile) {
        TrafficShare share = state.moveStatus().share(state.rules(), profile.target(), profile.version());
        if (share.equals(TrafficShare.NONE)) {
            return 0;
        }
        return newVersionMove(state, profile)
                .map(move -> state.dispatchCounts().remaining(move, share))
                .orElse(Long.MAX_VALUE);
    }

    /** Counts a dispatch to the upstream. */
    VersionDispatchCounts countDispatch(RouterState state, UpstreamProfile profile) {
        Optional<MoveIdentifier> move = state.rules().move(profile.target()).map(MoveRule::move);
        return move.map(present -> state.dispatchCounts()
                        .plus(
                                present,
                                state.moveStatus().share(state.rules(), profile.target(), present.to()),
                                present.to().equals(profile.version())))
                .orElse(state.dispatchCounts());
    }

    private static Optional<MoveIdentifier> newVersionMove(RouterState state, UpstreamProfile profile) {
        return state.rules().move(profile.target()).map(MoveRule::move).filter(move -> move.to()
                .equals(profile.version()));
    }
}
