package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.gate.capacity.CapacityReport;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.model.FailureDomainName;

/** An event that a gateway decides on. */
public sealed interface GatewayEvent {

    /**
     * A request was fully read.
     *
     * @param call the number that the gateway assigned to it
     * @param description the request
     */
    record CallArrived(long call, CallDescription description) implements GatewayEvent {}

    /**
     * The caller disconnected before the end of the response.
     *
     * @param call the request
     */
    record CallerDisconnected(long call) implements GatewayEvent {}

    /**
     * The upstream started its response, so it has prefilled the prompt. A stream has started with its first event.
     *
     * @param call the request
     * @param attempt the attempt
     * @param successful whether it is the response that was asked for, and not a failure
     * @param load the load that the upstream reported with it, if any
     */
    record ResponseStarted(long call, int attempt, boolean successful, Optional<ReportedLoad> load)
            implements GatewayEvent {}

    /**
     * An attempt ended.
     *
     * @param call the request
     * @param attempt the attempt
     * @param result how it ended
     */
    record AttemptEnded(long call, int attempt, AttemptResult result) implements GatewayEvent {}

    /**
     * A configuration was received, possibly an older one than that in force.
     *
     * @param configuration the configuration
     */
    record ConfigurationReceived(GatewayConfiguration configuration) implements GatewayEvent {}

    /**
     * The registry of upstreams changed.
     *
     * @param upstreams all registered upstreams
     */
    record UpstreamsChanged(PMap<UpstreamIdentifier, Upstream> upstreams) implements GatewayEvent {}

    /**
     * The list of failure domains out of service changed.
     *
     * @param domains all failure domains out of service
     */
    record DomainsOutChanged(PSet<FailureDomainName> domains) implements GatewayEvent {}

    /**
     * The registered gateways changed.
     *
     * @param gateways the names of the gateways that share the upstreams, including this one
     */
    record GatewaysChanged(PSet<String> gateways) implements GatewayEvent {}

    /**
     * A link to another gateway was opened.
     *
     * @param peer the name of the other gateway
     */
    record PeerConnected(String peer) implements GatewayEvent {}

    /**
     * Another gateway sent a report.
     *
     * @param peer the name of the other gateway
     * @param report the report, which replaces the earlier values that it covers
     */
    record PeerReportReceived(String peer, GatewayReport report) implements GatewayEvent {}

    /**
     * The last link to another gateway was closed.
     *
     * @param peer the name of the other gateway
     */
    record PeerDisconnected(String peer) implements GatewayEvent {}

    /**
     * Another gateway told what it knows of crashes of upstreams.
     *
     * @param crashes the crashes
     */
    record PeerCrashesReceived(List<CrashReport> crashes) implements GatewayEvent {}

    /**
     * An upstream said in a response that it is draining.
     *
     * @param upstream the upstream
     */
    record DrainNoticeReceived(Upstream upstream) implements GatewayEvent {}

    /**
     * Another gateway told which upstreams said that they are draining.
     *
     * @param reports the upstreams
     */
    record PeerDrainNoticesReceived(List<DrainReport> reports) implements GatewayEvent {}

    /**
     * An upstream wants no more requests of this gateway for some time.
     *
     * @param upstream the upstream
     * @param duration for how long
     */
    record PauseRequested(Upstream upstream, Duration duration) implements GatewayEvent {}

    /**
     * An upstream named a limit on its requests in a response, or a limited one named none.
     *
     * @param call the request that it responded to
     * @param attempt the attempt
     * @param upstream the upstream
     * @param requestsPerSecond the requests a second that it takes from all gateways together, empty if it names no limit
     */
    record RateLimitHeard(long call, int attempt, Upstream upstream, OptionalDouble requestsPerSecond)
            implements GatewayEvent {}

    /**
     * Another gateway told which limits upstreams named.
     *
     * @param reports the limits
     */
    record PeerRateLimitsReceived(List<LimitReport> reports) implements GatewayEvent {}

    /**
     * Another gateway asked for a permit to send one request to a limited upstream.
     *
     * @param peer the name of the other gateway
     * @param limit what it knows of the limit
     */
    record PermitRequested(String peer, LimitReport limit) implements GatewayEvent {}

    /**
     * Another gateway answered a permit request.
     *
     * @param upstream the upstream
     * @param granted whether the permit was granted
     * @param delay the time until another one can be had, if it was not
     */
    record PermitAnswered(UpstreamIncarnation upstream, boolean granted, Duration delay) implements GatewayEvent {}

    /**
     * The operators' orders to move to other versions changed.
     *
     * @param moves all orders
     */
    record VersionMovesChanged(PSet<VersionMove> moves) implements GatewayEvent {}

    /**
     * Another gateway rejected the new version of a move.
     *
     * @param move the move
     */
    record VersionRejected(VersionMove move) implements GatewayEvent {}

    /**
     * The lag of this process was measured.
     *
     * @param lag how long work waits for the process's threads
     */
    record LagMeasured(Duration lag) implements GatewayEvent {}

    /**
     * Another gateway told its failure domain.
     *
     * @param peer the name of the other gateway
     * @param domain its failure domain
     */
    record PeerDomainReceived(String peer, FailureDomainName domain) implements GatewayEvent {}

    /**
     * Another gateway told what it learned of the speed of upstreams.
     *
     * @param peer the name of the other gateway
     * @param incarnation the run of the other gateway, higher for a later one
     * @param report what it told
     */
    record PeerCapacityReceived(String peer, long incarnation, CapacityReport report) implements GatewayEvent {}

    /** The periodic tick. */
    record Ticked() implements GatewayEvent {}

    /** A graceful shutdown was requested. */
    record StopRequested() implements GatewayEvent {}
}
