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

/** An input of the decisions of a router. */
public sealed interface RouterEvent {

    /**
     * A request of a caller was fully received.
     *
     * @param identifier identifies the request
     * @param caller the digest of the caller's API key
     * @param target the requested model or service
     * @param route the path below the model or service
     * @param safe whether the HTTP method is safe, so that a retry does no harm
     * @param idempotencyKey the caller's idempotency key, if any
     * @param hint the caller's cost hint in tokens, 0 for none
     * @param maximumWait how long the request may be queued
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
     * A caller closed its connection.
     *
     * @param request the request of the caller
     */
    record CallerDisconnected(RequestIdentifier request) implements RouterEvent {}

    /**
     * The claim of an idempotency key in the platform's table completed.
     *
     * @param request the request that claims the key
     * @param result the result of the claim
     */
    record IdempotencyClaimCompleted(RequestIdentifier request, IdempotencyClaimResult result) implements RouterEvent {}

    /** The result of claiming an idempotency key in the platform's table. */
    enum IdempotencyClaimResult {
        /** The request owns the key. */
        OWNED,
        /** Another request owns the key. */
        HELD_BY_OTHER,
        /** The table did not respond. */
        UNAVAILABLE
    }

    /**
     * The router started to forward the response of an attempt to the caller.
     *
     * @param attempt the attempt
     */
    record ResponseStarted(AttemptIdentifier attempt) implements RouterEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt the attempt
     * @param outcome the outcome of the attempt
     */
    record AttemptEnded(AttemptIdentifier attempt, AttemptOutcome outcome) implements RouterEvent {}

    /**
     * The connection to the sidecar was lost before the sidecar reported an outcome of the attempt.
     *
     * @param attempt the attempt
     */
    record AttemptConnectionLost(AttemptIdentifier attempt) implements RouterEvent {}

    /**
     * A link to a sidecar was established.
     *
     * @param node the sidecar
     * @param incarnation the incarnation of the sidecar
     * @param profile what the upstream of the sidecar serves
     */
    record SidecarConnected(NodeName node, Incarnation incarnation, UpstreamProfile profile) implements RouterEvent {}

    /**
     * A link to a sidecar was closed.
     *
     * @param node the sidecar
     * @param incarnation the incarnation of the sidecar at the other end of the link
     */
    record SidecarDisconnected(NodeName node, Incarnation incarnation) implements RouterEvent {}

    /**
     * A message from a sidecar was received.
     *
     * @param node the sidecar
     * @param message the message
     */
    record SidecarMessageReceived(NodeName node, Message message) implements RouterEvent {}

    /**
     * The rule file in force was read from the platform.
     *
     * @param document the rule file
     */
    record RulesRead(RuleDocument document) implements RouterEvent {}

    /**
     * The list of VMs was read from the platform.
     *
     * @param nodes the sidecars on VMs that the platform is removing
     */
    record VmsLeaving(Set<NodeName> nodes) implements RouterEvent {}

    /** The platform did not respond when the rule file was read. */
    record PlatformUnavailable() implements RouterEvent {}

    /**
     * The rollout controller reported progress of moves or suspended versions.
     *
     * @param steps the recorded steps of moves
     * @param suspensions the suspended versions
     */
    record MovesUpdated(List<MoveProgress> steps, List<Suspension> suspensions) implements RouterEvent {}

    /** A graceful shutdown was requested: the router accepts no new requests and completes the accepted ones. */
    record StopRequested() implements RouterEvent {}

    /** The periodic tick that triggers timeouts, reports and heartbeats. */
    record Tick() implements RouterEvent {}
}
