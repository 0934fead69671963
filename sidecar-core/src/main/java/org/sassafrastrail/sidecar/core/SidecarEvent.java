package org.sassafrastrail.sidecar.core;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;

/** What a sidecar is told. */
public sealed interface SidecarEvent {

    /**
     * A link to a router is up.
     *
     * @param router the router
     * @param link tells the links to one router apart
     */
    record RouterConnected(NodeName router, long link) implements SidecarEvent {}

    /**
     * A link to a router is down.
     *
     * @param router the router
     * @param link the link
     */
    record RouterDisconnected(NodeName router, long link) implements SidecarEvent {}

    /**
     * A router said something.
     *
     * @param router the router
     * @param message the message
     */
    record RouterMessageReceived(NodeName router, Message message) implements SidecarEvent {}

    /**
     * A router has sent a request.
     *
     * @param attempt the attempt
     * @param grant the grant that it was sent with
     * @param hint the caller's cost hint in tokens, 0 for none
     * @param route the route
     */
    record DispatchArrived(AttemptIdentifier attempt, GrantIdentifier grant, long hint, String route)
            implements SidecarEvent {}

    /**
     * The upstream goes on answering.
     *
     * @param grant the grant of the request
     * @param cost what has come back so far, in tokens
     */
    record ResponseProgressed(GrantIdentifier grant, long cost) implements SidecarEvent {}

    /**
     * The upstream is done with a request.
     *
     * @param grant the grant of the request
     * @param outcome what became of it
     */
    record AttemptEnded(GrantIdentifier grant, UpstreamOutcome outcome) implements SidecarEvent {}

    /**
     * The upstream told its load, as it was some time ago.
     *
     * @param incarnation tells the lives of the upstream apart
     * @param running how many requests it ran
     * @param cold whether it was in a cold start
     */
    record LoadReported(long incarnation, int running, boolean cold) implements SidecarEvent {}

    /** The upstream did not answer when asked for its load. */
    record LoadUnavailable() implements SidecarEvent {}

    /** The process shall stop once its requests are answered. */
    record StopRequested() implements SidecarEvent {}

    /** Time passes. */
    record Tick() implements SidecarEvent {}
}
