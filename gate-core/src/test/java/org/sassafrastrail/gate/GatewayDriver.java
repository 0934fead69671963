package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.TreePVector;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/** Drives a gateway's core event by event, with a clock that the test advances. */
final class GatewayDriver {

    static final TargetName MODEL = new TargetName("model");
    static final TargetName SERVICE = new TargetName("desk");
    static final Duration TICK = Duration.ofMillis(25);
    static final GatewayLimits LIMITS = new GatewayLimits(
            100,
            0.5,
            0.4,
            8,
            0.4,
            Duration.ofMillis(300),
            0.2,
            5,
            1.5,
            5,
            0.1,
            5,
            3,
            Duration.ofSeconds(2),
            2,
            Duration.ofMinutes(1),
            Duration.ofMillis(100),
            new DrainSchedule(
                    Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMillis(4800), Duration.ofSeconds(5)));

    private final GatewayCore core = new GatewayCore(LIMITS);
    private GatewayState state;
    private Instant now = Instant.EPOCH.plusSeconds(100);
    private PMap<UpstreamIdentifier, Upstream> registered = HashTreePMap.empty();

    GatewayDriver() {
        this("a");
    }

    GatewayDriver(String name) {
        state = GatewayState.start(name, Duration.ofSeconds(4));
        handle(new GatewayEvent.ConfigurationReceived(configuration(1)));
    }

    static GatewayConfiguration configuration(long version) {
        return configuration(version, Double.POSITIVE_INFINITY);
    }

    static GatewayConfiguration configuration(long version, double tokensPerSecond) {
        return new GatewayConfiguration(
                version,
                HashTreePMap.empty(),
                HashTreePMap.<TargetName, TargetConfiguration>empty()
                        .plus(MODEL, new TargetConfiguration(MODEL, 10))
                        .plus(SERVICE, new TargetConfiguration(SERVICE, 0)),
                HashTreePMap.empty(),
                false,
                1000,
                tokensPerSecond);
    }

    static Route route(String name, TargetName target, boolean idempotent, boolean cacheAffinity, int maxUpstreams) {
        return route(name, target, idempotent, cacheAffinity, maxUpstreams, Duration.ofSeconds(2));
    }

    static Route route(
            String name,
            TargetName target,
            boolean idempotent,
            boolean cacheAffinity,
            int maxUpstreams,
            Duration timeout) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                TreePVector.singleton(new WeightedTarget(target, 1)),
                idempotent,
                false,
                cacheAffinity,
                cacheAffinity,
                false,
                maxUpstreams,
                timeout,
                Duration.ofMillis(500));
    }

    static Upstream upstream(String name, TargetName target) {
        return upstream(name, target, 8);
    }

    static Upstream upstream(String name, TargetName target, int slots) {
        return new Upstream(
                new UpstreamIdentifier(name),
                target,
                "10.0.0.1",
                8080,
                new FailureDomainName("domain-" + name),
                "v1",
                slots,
                false,
                Duration.ZERO,
                1,
                1);
    }

    static Upstream draining(Upstream upstream) {
        return changed(upstream, true, upstream.coldRemaining());
    }

    static Upstream cold(Upstream upstream, Duration left) {
        return changed(upstream, upstream.draining(), left);
    }

    static Upstream restarted(Upstream upstream) {
        return changed(upstream, false, Duration.ZERO, upstream.startedAtMillis() + 1);
    }

    private static Upstream changed(Upstream upstream, boolean draining, Duration coldRemaining) {
        return changed(upstream, draining, coldRemaining, upstream.startedAtMillis());
    }

    private static Upstream changed(Upstream upstream, boolean draining, Duration coldRemaining, long startedAtMillis) {
        return new Upstream(
                upstream.identifier(),
                upstream.target(),
                upstream.host(),
                upstream.port(),
                upstream.domain(),
                upstream.version(),
                upstream.slots(),
                draining,
                coldRemaining,
                startedAtMillis,
                upstream.entryNumber() + 1);
    }

    static Prompt prompt(String session, int sessionTokens, long inputTokens) {
        return new Prompt(TreePVector.singleton(new PromptPart(session, sessionTokens)), inputTokens, 10);
    }

    List<GatewayAction> handle(GatewayEvent event) {
        Transition<GatewayState, GatewayAction> transition = core.handle(state, event, now);
        state = transition.state();
        return transition.actions().stream()
                .filter(action ->
                        !(action instanceof GatewayAction.SendReport || action instanceof GatewayAction.ShareCrashes))
                .toList();
    }

    /** Advances the clock and returns the report that the gateway sends to its peers, if one is due. */
    Optional<GatewayAction.SendReport> reportAfter(Duration time) {
        now = now.plus(time);
        Transition<GatewayState, GatewayAction> transition = core.handle(state, new GatewayEvent.Ticked(), now);
        state = transition.state();
        return first(transition.actions(), GatewayAction.SendReport.class);
    }

    /** Advances the clock and returns what the gateway tells its peers of crashes. */
    GatewayAction.ShareCrashes crashesSharedAfter(Duration time) {
        now = now.plus(time);
        Transition<GatewayState, GatewayAction> transition = core.handle(state, new GatewayEvent.Ticked(), now);
        state = transition.state();
        return first(transition.actions(), GatewayAction.ShareCrashes.class).orElseThrow();
    }

    List<GatewayAction> peerLoad(String peer, String upstream, int running, long pendingPrefillTokens) {
        return handle(new GatewayEvent.PeerReportReceived(
                peer,
                new GatewayReport(
                        true,
                        HashTreePMap.singleton(
                                new UpstreamIdentifier(upstream), new GatewayLoad(running, pendingPrefillTokens)),
                        HashTreePMap.empty())));
    }

    List<GatewayAction> register(Upstream... upstreams) {
        registered = Arrays.stream(upstreams)
                .reduce(registered, (combined, next) -> combined.plus(next.identifier(), next), (one, other) -> other);
        return handle(new GatewayEvent.UpstreamsChanged(registered));
    }

    List<GatewayAction> unregister(String name) {
        registered = registered.minus(new UpstreamIdentifier(name));
        return handle(new GatewayEvent.UpstreamsChanged(registered));
    }

    List<GatewayAction> domainOut(String domain) {
        return handle(new GatewayEvent.DomainsOutChanged(HashTreePSet.singleton(new FailureDomainName(domain))));
    }

    List<GatewayAction> arrive(long number, Route route, Prompt prompt, String account) {
        return handle(new GatewayEvent.CallArrived(
                number,
                new CallDescription(
                        "request-" + number,
                        route,
                        Optional.of(new AccountName(account)),
                        prompt,
                        now,
                        now.plusSeconds(4))));
    }

    List<GatewayAction> arrive(long number, Route route) {
        return arrive(number, route, Prompt.NONE, "account");
    }

    List<GatewayAction> endAttempt(long number, int attempt, AttemptResult result) {
        return handle(new GatewayEvent.AttemptEnded(number, attempt, result));
    }

    List<GatewayAction> advance(Duration time) {
        now = now.plus(time);
        return handle(new GatewayEvent.Ticked());
    }

    GatewayDriver change(UnaryOperator<GatewayState> change) {
        state = change.apply(state);
        return this;
    }

    GatewayState state() {
        return state;
    }

    static Optional<String> dispatchedTo(List<GatewayAction> actions) {
        return actions.stream()
                .filter(GatewayAction.Dispatch.class::isInstance)
                .map(GatewayAction.Dispatch.class::cast)
                .map(dispatch -> dispatch.upstream().identifier().value())
                .findFirst();
    }

    static <T> Optional<T> first(List<GatewayAction> actions, Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).findFirst();
    }
}
