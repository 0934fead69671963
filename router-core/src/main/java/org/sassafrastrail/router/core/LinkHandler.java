package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.messages.EvidenceUpdate;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.MoveUpdate;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.TargetName;

/** Handles the links to sidecars and the messages received over them. */
final class LinkHandler {

    private final GrantHandler grants;
    private final AttemptHandler attempts;
    private final ConfigurationHandler configuration;
    private final MoveHandler moves;

    LinkHandler(GrantHandler grants, AttemptHandler attempts, ConfigurationHandler configuration, MoveHandler moves) {
        this.grants = grants;
        this.attempts = attempts;
        this.configuration = configuration;
        this.moves = moves;
    }

    /**
     * Registers a sidecar and sends it the revision, the moves and the ledger of this router. Queued requests are
     * reported only afterwards, by {@link DemandReporter}.
     */
    Transition<RouterState, RouterAction> connected(
            RouterState state, RouterEvent.SidecarConnected event, Instant now) {
        SidecarLink link = SidecarLink.initial(event.node(), event.incarnation(), event.profile(), now);
        TargetName target = event.profile().target();
        return Transition.<RouterState, RouterAction>to(state.with(link))
                .thenAll(initialMessages(state, target).stream()
                        .map(message -> new RouterAction.SendMessage(event.node(), message))
                        .toList())
                .and(next -> resumeQueries(next, link, now));
    }

    Transition<RouterState, RouterAction> disconnected(
            RouterState state, RouterEvent.SidecarDisconnected event, Instant now) {
        boolean current = Optional.ofNullable(state.sidecars().get(event.node()))
                .filter(link -> link.incarnation().equals(event.incarnation()))
                .isPresent();
        RouterState without = state.withSidecars(state.sidecars().minus(event.node()));
        return Transition.to(current ? markUnconfirmed(without, event.node(), now) : state);
    }

    private static RouterState markUnconfirmed(RouterState state, NodeName sidecar, Instant now) {
        return state.withRunning(state.running()
                .plusAll(runningAt(state, sidecar)
                        .collect(Collectors.toMap(
                                running -> running.queued().request().identifier(),
                                running -> running.unconfirmed(now)))));
    }

    private static Stream<RunningRequest> runningAt(RouterState state, NodeName sidecar) {
        return state.running().values().stream()
                .filter(running -> running.sidecar().equals(sidecar));
    }

    /**
     * Marks the sidecars on VMs that the platform is removing. They get no new requests; attempts in flight continue.
     */
    Transition<RouterState, RouterAction> leaving(RouterState state, RouterEvent.VmsLeaving event, Instant now) {
        return Transition.to(state.sidecars().values().stream()
                .filter(link -> link.leaving() != event.nodes().contains(link.node()))
                .map(link -> link.leaving(!link.leaving()))
                .reduce(state, RouterState::with, (first, second) -> second));
    }

    Transition<RouterState, RouterAction> messageReceived(
            RouterState state, RouterEvent.SidecarMessageReceived event, Instant now) {
        SidecarLink link = state.sidecars().get(event.node());
        if (link == null) {
            return Transition.to(state);
        }
        SidecarLink current = link.received(now);
        return handle(state.with(current), current, event.message(), now);
    }

    private Transition<RouterState, RouterAction> handle(
            RouterState state, SidecarLink link, Message message, Instant now) {
        if (message instanceof GrantOffer offer) {
            return grants.offered(state, link, offer, now);
        }
        if (message instanceof AttemptReport report) {
            return attempts.reported(state, report, now);
        }
        if (message instanceof LedgerUpdate update) {
            return Transition.to(state.with(state.ledger().merge(update.entries())));
        }
        if (message instanceof EvidenceUpdate update) {
            return moves.evidenceReceived(state, update);
        }
        if (message instanceof MoveUpdate update) {
            return moves.updated(state, update.progress(), update.suspensions());
        }
        if (message instanceof Heartbeat heartbeat) {
            return configuration.heartbeatReceived(state.with(link.with(heartbeat)), link, heartbeat, now);
        }
        if (message instanceof RulesRequest) {
            return configuration.rulesRequested(state, link);
        }
        if (message instanceof RulesAnnouncement announcement) {
            return configuration.documentReceived(state, announcement.document());
        }
        return Transition.to(state);
    }

    private static List<Message> initialMessages(RouterState state, TargetName target) {
        Message moves = new MoveUpdate(
                state.moveRegistry().steps(), state.moveRegistry().suspensions());
        Message ledger = new LedgerUpdate(state.ledger().entries().stream()
                .filter(entry -> entry.key().target().equals(target))
                .toList());
        return List.of(TickHandler.heartbeat(state), moves, ledger);
    }

    /**
     * Sends open queries again after a reconnect, and settles the attempts at an earlier incarnation of the sidecar whose
     * response has not started.
     */
    private Transition<RouterState, RouterAction> resumeQueries(RouterState state, SidecarLink link, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .forEach(runningAt(state, link.node()), (next, running) -> resume(next, link, running, now));
    }

    private Transition<RouterState, RouterAction> resume(
            RouterState state, SidecarLink link, RunningRequest running, Instant now) {
        boolean sameIncarnation = running.grant().incarnation().equals(link.incarnation());
        if (!sameIncarnation && !running.responding()) {
            return attempts.sidecarRestarted(state, running, now);
        }
        Transition<RouterState, RouterAction> unchanged = Transition.to(state);
        return running.queryDeadline().isPresent() ? unchanged.then(attempts.query(running)) : unchanged;
    }
}
