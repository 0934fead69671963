package org.sassafrastrail.router;

import java.util.Comparator;
import java.util.List;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.rollout.MoveRegistry;
import org.sassafrastrail.router.core.RouterState;
import org.sassafrastrail.router.core.SidecarLink;
import org.sassafrastrail.rules.MoveRule;

/**
 * The status of a router, as shown to operators.
 *
 * @param node the name of the router
 * @param revision the revision in force
 * @param waiting the number of queued requests
 * @param running the number of requests with an attempt in flight
 * @param domainsOut the failure domains out of service
 * @param sidecars the linked sidecars
 * @param moves the moves in force
 */
record RouterStatus(
        String node,
        long revision,
        int waiting,
        int running,
        List<String> domainsOut,
        List<SidecarStatus> sidecars,
        List<MoveStatusEntry> moves) {

    /** The status of a linked sidecar. */
    record SidecarStatus(
            String node,
            String target,
            String version,
            String failureDomain,
            long revision,
            int inFlight,
            int limit,
            boolean leaving) {

        static SidecarStatus of(SidecarLink link) {
            return new SidecarStatus(
                    link.node().value(),
                    link.profile().target().value(),
                    link.profile().version().value(),
                    link.profile().failureDomain().value(),
                    link.heartbeat().revision().value(),
                    link.heartbeat().inFlight(),
                    link.heartbeat().limit(),
                    link.heartbeat().leaving());
        }
    }

    /** The status of a move. */
    record MoveStatusEntry(
            String target,
            String from,
            String to,
            String due,
            int sharePerMille,
            String verdict,
            String reason,
            boolean suspended) {

        static MoveStatusEntry of(MoveIdentifier move, MoveRegistry moveRegistry) {
            MoveProgress progress = moveRegistry.progress(move);
            MoveProgress.Reason reason =
                    moveRegistry.suspension(move).map(Suspension::reason).orElse(progress.reason());
            return new MoveStatusEntry(
                    move.target().value(),
                    move.from().value(),
                    move.to().value(),
                    move.due().toString(),
                    progress.share().perMille(),
                    progress.verdict().name(),
                    reason.name(),
                    moveRegistry.suspension(move).isPresent());
        }
    }

    static RouterStatus of(String node, RouterState state) {
        return new RouterStatus(
                node,
                state.configuration().document().revision().value(),
                state.queues().size(),
                state.running().size(),
                state.rules().domainsOutOfService().stream()
                        .map(FailureDomainName::value)
                        .toList(),
                state.sidecars().values().stream()
                        .map(SidecarStatus::of)
                        .sorted(Comparator.comparing(SidecarStatus::node))
                        .toList(),
                state.rules().moves().stream()
                        .map(MoveRule::move)
                        .map(move -> MoveStatusEntry.of(move, state.moveRegistry()))
                        .toList());
    }
}
