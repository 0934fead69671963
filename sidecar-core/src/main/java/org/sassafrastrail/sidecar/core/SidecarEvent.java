package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;

/** Events that a sidecar's core handles. */
public sealed interface SidecarEvent {

    /**
     * A link to a router was established.
     *
     * @param router the router
     * @param link the number of the link, which distinguishes successive links to the same router
     */
    record RouterConnected(NodeName router, long link) implements SidecarEvent {}

    /**
     * A link to a router was closed.
     *
     * @param router the router
     * @param link the number of the link
     */
    record RouterDisconnected(NodeName router, long link) implements SidecarEvent {}

    /**
     * A message from a router was received.
     *
     * @param router the router
     * @param message the message
     */
    record RouterMessageReceived(NodeName router, Message message) implements SidecarEvent {}

    /**
     * A router dispatched a request.
     *
     * @param attempt the attempt
     * @param grant the grant of the dispatch
     * @param hint the caller's cost hint in tokens, 0 for none
     * @param route the route of the request
     */
    record DispatchArrived(AttemptIdentifier attempt, GrantIdentifier grant, long hint, String route)
            implements SidecarEvent {}

    /**
     * More of the upstream's response was received.
     *
     * @param grant the grant of the attempt
     * @param cost the cost of the response so far, in tokens
     */
    record ResponseProgressed(GrantIdentifier grant, long cost) implements SidecarEvent {}

    /**
     * An attempt at the upstream ended.
     *
     * @param grant the grant of the attempt
     * @param outcome the outcome of the attempt
     */
    record AttemptEnded(GrantIdentifier grant, UpstreamOutcome outcome) implements SidecarEvent {}

    /**
     * A load report of the upstream was received. Reports lag: they describe the load as it was some time ago.
     *
     * @param incarnation the incarnation of the upstream
     * @param running the number of requests that were running
     * @param cold whether the upstream was in a cold start
     */
    record LoadReported(long incarnation, int running, boolean cold) implements SidecarEvent {}

    /** The upstream did not respond to a load request, or its report was incomplete or malformed. */
    record LoadUnavailable() implements SidecarEvent {}

    /** A graceful shutdown was requested: the process stops once its requests have ended. */
    record StopRequested() implements SidecarEvent {}

    /** Periodic event that drives expiry, heartbeats and ledger updates. */
    record Tick() implements SidecarEvent {}
}
