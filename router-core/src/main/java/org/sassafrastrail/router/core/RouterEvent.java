package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.AttemptOutcome;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.rules.RuleDocument;

/** What a router is told. */
public sealed interface RouterEvent {

    /**
     * A caller's whole request has arrived.
     *
     * @param identifier identifies the request
     * @param caller the digest of the caller's key
     * @param target the model or service
     * @param route the route
     * @param safe whether the method itself promises that a repeat does no harm
     * @param idempotencyKey the caller's idempotency key
     * @param hint the caller's cost hint in tokens, 0 for none
     * @param maximumWait how long the caller lets the request wait
     */
    record RequestArrived(
            RequestIdentifier identifier,
            KeyDigest caller,
            TargetName target,
            String route,
            boolean safe,
            Optional<String> idempotencyKey,
            long hint,
            Duration maximumWait)
            implements RouterEvent {}

    /**
     * The caller closed the connection.
     *
     * @param request its request
     */
    record CallerDisconnected(RequestIdentifier request) implements RouterEvent {}

    /**
     * The platform's table answered about an idempotency key.
     *
     * @param request the request that wants the key
     * @param result the result
     */
    record IdempotencyClaimCompleted(RequestIdentifier request, IdempotencyClaimResult result) implements RouterEvent {}

    /** What the platform's table can say about an idempotency key. */
    enum IdempotencyClaimResult {
        /** The request holds the key. */
        OWNED,
        /** Another request holds it. */
        HELD_BY_OTHER,
        /** The table did not answer. */
        UNAVAILABLE
    }

    /**
     * The first byte of an answer has reached the caller.
     *
     * @param attempt the attempt
     */
    record ResponseStarted(AttemptIdentifier attempt) implements RouterEvent {}

    /**
     * An attempt has ended and its outcome is known.
     *
     * @param attempt the attempt
     * @param outcome its outcome
     */
    record AttemptEnded(AttemptIdentifier attempt, AttemptOutcome outcome) implements RouterEvent {}

    /**
     * The connection to the sidecar broke before it said anything of the attempt.
     *
     * @param attempt the attempt
     */
    record AttemptConnectionLost(AttemptIdentifier attempt) implements RouterEvent {}

    /**
     * A link to a sidecar is up.
     *
     * @param node the sidecar
     * @param incarnation its life
     * @param profile what its upstream serves
     */
    record SidecarConnected(NodeName node, Incarnation incarnation, UpstreamProfile profile) implements RouterEvent {}

    /**
     * A link to a sidecar is down.
     *
     * @param node the sidecar
     * @param incarnation the life that the link was to
     */
    record SidecarDisconnected(NodeName node, Incarnation incarnation) implements RouterEvent {}

    /**
     * A sidecar said something.
     *
     * @param node the sidecar
     * @param message the message
     */
    record SidecarMessageReceived(NodeName node, Message message) implements RouterEvent {}

    /**
     * The platform told the rule file in force.
     *
     * @param document the rule file
     */
    record RulesRead(RuleDocument document) implements RouterEvent {}

    /**
     * The platform told which VMs it is taking away.
     *
     * @param nodes the sidecars on them
     */
    record VmsLeaving(Set<NodeName> nodes) implements RouterEvent {}

    /** The platform did not answer. */
    record PlatformUnavailable() implements RouterEvent {}

    /**
     * The controller or the platform told of moves.
     *
     * @param steps recorded steps
     * @param suspensions suspended versions
     */
    record MovesUpdated(List<MoveProgress> steps, List<Suspension> suspensions) implements RouterEvent {}

    /** The process shall stop once its requests are answered. */
    record StopRequested() implements RouterEvent {}

    /** Time passes. */
    record Tick() implements RouterEvent {}
}
