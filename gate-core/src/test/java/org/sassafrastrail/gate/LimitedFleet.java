package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleFunction;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.AccountName;

/** Gateways in virtual time before one upstream that names a limit in its responses. A run is determined by its seed. */
final class LimitedFleet {

    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final double TICK_SECONDS = 0.025;
    private static final double UPSTREAM_SECONDS = 0.03;
    private static final double NANOSECONDS = 1e9;
    private static final Upstream UPSTREAM = GatewayDriver.upstream("one", GatewayDriver.SERVICE, 1000);
    private static final Route ROUTE = GatewayDriver.route("list", GatewayDriver.SERVICE, true, false, 2);

    /** An action at a virtual time; the sequence number orders those of the same time. */
    private record Scheduled(double at, long sequence, Runnable action) {}

    private final GatewayCore core = new GatewayCore(GatewayDriver.LIMITS);
    private final Random random;
    private final PriorityQueue<Scheduled> schedule =
            new PriorityQueue<>(Comparator.comparingDouble(Scheduled::at).thenComparingLong(Scheduled::sequence));
    private final List<GatewayState> states = new ArrayList<>();
    private final List<Double> arrivals = new ArrayList<>();
    private final Set<Integer> unlinked = new HashSet<>();
    private int firstPart;
    private DoubleFunction<OptionalDouble> limit = second -> OptionalDouble.empty();
    private double linkSeconds = 0.001;
    private double now;
    private long sequence;
    private long refused;

    LimitedFleet(int gateways, long seed) {
        this.random = new Random(seed);
        IntStream.range(0, gateways).forEach(gateway -> states.add(start(gateway)));
        IntStream.range(0, gateways).forEach(gateway -> {
            learnCluster(gateway);
            IntStream.range(0, gateways).filter(peer -> peer != gateway).forEach(peer -> link(gateway, peer));
            schedule(random.nextDouble() * TICK_SECONDS, () -> tick(gateway));
        });
    }

    private static GatewayState start(int gateway) {
        return GatewayState.start(name(gateway), Duration.ofSeconds(4));
    }

    private static String name(int gateway) {
        return "gateway-" + gateway;
    }

    private void learnCluster(int gateway) {
        handle(gateway, new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(1)));
        handle(gateway, new GatewayEvent.UpstreamsChanged(HashTreePMap.singleton(UPSTREAM.identifier(), UPSTREAM)));
        handle(
                gateway,
                new GatewayEvent.GatewaysChanged(HashTreePSet.from(IntStream.range(0, states.size())
                        .mapToObj(LimitedFleet::name)
                        .toList())));
    }

    private void link(int gateway, int peer) {
        handle(gateway, new GatewayEvent.PeerConnected(name(peer)));
    }

    /** Sets the limit that the upstream names, by the second of the run. */
    void setLimit(DoubleFunction<OptionalDouble> named) {
        limit = named;
    }

    /** Sets the time that messages between gateways take. */
    void setLinkSeconds(double seconds) {
        linkSeconds = seconds;
    }

    /** Sends requests at a rate from one second to another, each to the gateway that is drawn from a random number. */
    void send(double perSecond, double from, double until, IntUnaryOperator gatewayOf) {
        double at = from + next(perSecond);
        if (at < until) {
            schedule(at, () -> {
                arrive(Math.floorMod(gatewayOf.applyAsInt(random.nextInt(Integer.MAX_VALUE)), states.size()));
                send(perSecond, at, until, gatewayOf);
            });
        }
    }

    private double next(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    /** Starts a gateway again, which has forgotten everything. */
    void restart(int gateway, double second) {
        schedule(second, () -> {
            states.set(gateway, start(gateway));
            learnCluster(gateway);
            IntStream.range(0, states.size()).filter(peer -> peer != gateway).forEach(peer -> {
                link(gateway, peer);
                link(peer, gateway);
            });
        });
    }

    /** Cuts the links of a gateway. */
    void cut(int gateway, double second) {
        schedule(second, () -> {
            unlinked.add(gateway);
            IntStream.range(0, states.size()).filter(peer -> peer != gateway).forEach(peer -> {
                handle(gateway, new GatewayEvent.PeerDisconnected(name(peer)));
                handle(peer, new GatewayEvent.PeerDisconnected(name(gateway)));
            });
        });
    }

    /** Cuts the links between the first gateways and the others. */
    void split(int first, double second) {
        schedule(second, () -> {
            firstPart = first;
            IntStream.range(0, first)
                    .forEach(gateway -> IntStream.range(first, states.size()).forEach(peer -> {
                        handle(gateway, new GatewayEvent.PeerDisconnected(name(peer)));
                        handle(peer, new GatewayEvent.PeerDisconnected(name(gateway)));
                    }));
        });
    }

    private boolean isLinked(int gateway, int peer) {
        return !unlinked.contains(gateway) && !unlinked.contains(peer) && gateway < firstPart == peer < firstPart;
    }

    private void arrive(int gateway) {
        long number = ++sequence;
        handle(
                gateway,
                new GatewayEvent.CallArrived(
                        number,
                        new CallDescription(
                                "request-" + number,
                                ROUTE,
                                Optional.of(new AccountName("account")),
                                Prompt.NONE,
                                time(),
                                time().plusSeconds(4))));
    }

    private void tick(int gateway) {
        handle(gateway, new GatewayEvent.Ticked());
        schedule(now + TICK_SECONDS, () -> tick(gateway));
    }

    private Instant time() {
        return START.plusNanos((long) (now * NANOSECONDS));
    }

    private void schedule(double at, Runnable action) {
        schedule.add(new Scheduled(at, sequence++, action));
    }

    private void handle(int gateway, GatewayEvent event) {
        Transition<GatewayState, GatewayAction> transition = core.handle(states.get(gateway), event, time());
        states.set(gateway, transition.state());
        transition.actions().forEach(action -> execute(gateway, action));
    }

    private void execute(int gateway, GatewayAction action) {
        if (action instanceof GatewayAction.Dispatch dispatch) {
            schedule(now + 0.001, () -> receive(gateway, dispatch));
        } else if (action instanceof GatewayAction.Refuse) {
            refused++;
        } else if (action instanceof GatewayAction.ShareRateLimits share) {
            IntStream.range(0, states.size())
                    .filter(peer -> peer != gateway)
                    .forEach(peer -> tell(gateway, peer, new GatewayEvent.PeerRateLimitsReceived(share.reports())));
        } else if (action instanceof GatewayAction.RequestPermit request) {
            tell(
                    gateway,
                    numberOf(request.gateway()),
                    new GatewayEvent.PermitRequested(name(gateway), request.limit()));
        } else if (action instanceof GatewayAction.AnswerPermitRequest answer) {
            tell(
                    gateway,
                    numberOf(answer.gateway()),
                    new GatewayEvent.PermitAnswered(answer.upstream(), answer.granted(), answer.delay()));
        }
    }

    private static int numberOf(String gateway) {
        return Integer.parseInt(gateway.substring(gateway.indexOf('-') + 1));
    }

    private void tell(int gateway, int peer, GatewayEvent event) {
        if (isLinked(gateway, peer)) {
            schedule(now + linkSeconds, () -> handle(peer, event));
        }
    }

    private void receive(int gateway, GatewayAction.Dispatch dispatch) {
        arrivals.add(now);
        schedule(now + UPSTREAM_SECONDS, () -> {
            OptionalDouble named = limit.apply(now);
            if (named.isPresent() || states.get(gateway).isLimited(UPSTREAM.incarnation())) {
                handle(gateway, new GatewayEvent.RateLimitHeard(dispatch.call(), dispatch.attempt(), UPSTREAM, named));
            }
            handle(
                    gateway,
                    new GatewayEvent.AttemptEnded(dispatch.call(), dispatch.attempt(), new AttemptResult.Delivered()));
        });
    }

    void runUntil(double second) {
        while (!schedule.isEmpty() && schedule.peek().at() < second) {
            Scheduled next = schedule.poll();
            now = next.at();
            next.action().run();
        }
    }

    /** Returns how many requests reached the upstream between two seconds. */
    long arrivals(double from, double until) {
        return arrivals.stream().filter(at -> at >= from && at < until).count();
    }

    /** Returns the most requests that reached the upstream in a window that began between two seconds. */
    long mostInWindow(double window, double from, double until) {
        return arrivals.stream()
                .filter(at -> at >= from && at + window <= until)
                .mapToLong(at -> arrivals(at, at + window))
                .max()
                .orElse(0);
    }

    long refused() {
        return refused;
    }
}
