package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.AccountName;

/**
 * Simulates gateways in front of engines in virtual time. Refused callers retry once, at the gateway that they are connected
 * to, and callers of a gateway that is down connect to the next one. A run is determined by its seed.
 */
final class SimulatedFleet {

    private static final double TICK_MILLISECONDS = 25;
    private static final double LINK_MILLISECONDS = 1;
    private static final double RESPONSE_MILLISECONDS = 150;
    private static final double RETRY_DELAY_MILLISECONDS = 350;
    private static final int RETRIES = 1;
    private static final int SLOTS = 128;
    private static final double REMOVAL_MILLISECONDS = 2000;
    private static final double RESTART_MILLISECONDS = 3300;
    private static final double POLL_MILLISECONDS = 1000;
    private static final double MILLISECONDS = 1000;
    private static final Duration QUOTA_WINDOW = Duration.ofSeconds(4);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);

    /** The total capacity of the engines with the cache hit rate of this simulation. */
    private static final double TOKENS_PER_SECOND = 2_500_000;

    /**
     * A client account with a steady request rate and an optional surge.
     *
     * @param name the name of the account
     * @param gateways the gateways that its callers are connected to
     * @param perSecond the steady number of requests per second
     * @param surgeFrom the start of the surge, in seconds
     * @param surgeUntil the end of the surge, in seconds
     * @param surgeFactor the factor by which the rate is higher during the surge
     */
    record Account(
            String name,
            List<Integer> gateways,
            double perSecond,
            double surgeFrom,
            double surgeUntil,
            double surgeFactor) {

        double perSecond(double second) {
            return second >= surgeFrom && second < surgeUntil ? perSecond * surgeFactor : perSecond;
        }
    }

    /**
     * A request of a caller and its result.
     *
     * @param account the account
     * @param prompt its prompt
     * @param arrivedAt when it arrived, in milliseconds
     * @param refusals the number of earlier refusals
     * @param startedAt when its response started, in milliseconds, infinite if it did not start
     */
    record Request(String account, Prompt prompt, double arrivedAt, int refusals, double startedAt) {

        Request responseStarted(double time) {
            return new Request(account, prompt, arrivedAt, refusals, time);
        }

        Request retriedAt(double time) {
            return new Request(account, prompt, time, refusals + 1, Double.POSITIVE_INFINITY);
        }
    }

    /** An action at a virtual time; the sequence number orders events of the same time. */
    private record ScheduledEvent(double at, long sequence, Runnable action) {}

    private final Random random;
    private final SimulatedPrompts prompts;
    private final PriorityQueue<ScheduledEvent> schedule = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledEvent::at).thenComparingLong(ScheduledEvent::sequence));
    private final List<GatewayState> states = new ArrayList<>();
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private final List<Double> crashes = new ArrayList<>();
    private final List<Double> deadlyRuns = new ArrayList<>();
    private final GatewayCore core;
    private final Route route = GatewayDriver.route("tell", GatewayDriver.MODEL, false, true, 1, CALLER_TIMEOUT);
    private PMap<UpstreamIdentifier, Upstream> registered = HashTreePMap.empty();
    private final Set<Integer> down = new HashSet<>();
    private final Set<Integer> unlinked = new HashSet<>();
    private double reportMilliseconds = LINK_MILLISECONDS;
    private double lostReports;
    private double now;
    private long sequence;
    private long nextNumber;

    SimulatedFleet(GatewayLimits limits, int gateways, int engineCount, long seed) {
        this.core = new GatewayCore(limits);
        this.random = new Random(seed);
        this.prompts = new SimulatedPrompts(random);
        IntStream.range(0, engineCount).forEach(number -> startEngine("engine-" + number));
        IntStream.range(0, gateways).forEach(gateway -> states.add(startState(gateway)));
        IntStream.range(0, gateways).forEach(gateway -> {
            learnCluster(gateway);
            peersOf(gateway).forEach(peer -> handle(gateway, new GatewayEvent.PeerConnected(name(peer))));
            schedule(random.nextDouble() * TICK_MILLISECONDS, () -> tick(gateway));
        });
    }

    private static GatewayState startState(int gateway) {
        return GatewayState.start(name(gateway), QUOTA_WINDOW);
    }

    private void learnCluster(int gateway) {
        handle(gateway, new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(1, TOKENS_PER_SECOND)));
        handle(gateway, new GatewayEvent.UpstreamsChanged(registered));
        handle(gateway, new GatewayEvent.GatewaysChanged(names(states.size())));
    }

    /** Sets the time that reports between gateways take from now on. */
    void setReportDelay(double milliseconds) {
        reportMilliseconds = milliseconds;
    }

    /** Sets the share of the reports between gateways that are lost from now on. */
    void setLostReports(double share) {
        lostReports = share;
    }

    /** Cuts the links of a gateway to all others for a while; callers and engines still reach it. */
    void cutLinks(int gateway, double fromSecond, double untilSecond) {
        schedule(fromSecond * MILLISECONDS, () -> {
            unlinked.add(gateway);
            peersOf(gateway).forEach(peer -> setLinked(gateway, peer, GatewayEvent.PeerDisconnected::new));
        });
        schedule(untilSecond * MILLISECONDS, () -> link(gateway));
    }

    /** Kills a gateway and starts it again. What it was working on is lost. */
    void restart(int gateway, double fromSecond, double untilSecond) {
        schedule(fromSecond * MILLISECONDS, () -> {
            down.add(gateway);
            states.set(gateway, startState(gateway));
        });
        schedule(untilSecond * MILLISECONDS, () -> {
            down.remove(gateway);
            learnCluster(gateway);
        });
        cutLinks(gateway, fromSecond, untilSecond);
    }

    private void link(int gateway) {
        unlinked.remove(gateway);
        peersOf(gateway).forEach(peer -> setLinked(gateway, peer, GatewayEvent.PeerConnected::new));
    }

    private void setLinked(int one, int other, Function<String, GatewayEvent> event) {
        handle(one, event.apply(name(other)));
        handle(other, event.apply(name(one)));
    }

    /** Returns the gateways that a gateway has links to. */
    private IntStream peersOf(int gateway) {
        return IntStream.range(0, states.size()).filter(peer -> peer != gateway);
    }

    private static String name(int gateway) {
        return "gateway-" + gateway;
    }

    private void startEngine(String name) {
        Upstream engine = GatewayDriver.upstream(name, GatewayDriver.MODEL, SLOTS);
        registered = registered.plus(engine.identifier(), engine);
        engines.put(name, new SimulatedEngine());
    }

    /** Lets a share of the requests have a part under which engines crash. */
    void addDeadlyPart(SimulatedPrompts.DeadlyPart part) {
        prompts.addDeadlyPart(part);
    }

    private static PSet<String> names(int gateways) {
        return HashTreePSet.from(
                IntStream.range(0, gateways).mapToObj(SimulatedFleet::name).toList());
    }

    private void schedule(double time, Runnable action) {
        schedule.add(new ScheduledEvent(time, sequence++, action));
    }

    private void tick(int gateway) {
        handle(gateway, new GatewayEvent.Ticked());
        schedule(now + TICK_MILLISECONDS, () -> tick(gateway));
    }

    /** Starts the requests of an account. */
    void addAccount(Account account) {
        schedule(0, () -> scheduleNext(account));
    }

    private void scheduleNext(Account account) {
        double rate = account.perSecond(now / MILLISECONDS);
        double wait = rate <= 0 ? 100 : -Math.log(1 - random.nextDouble()) * MILLISECONDS / rate;
        schedule(now + wait, () -> {
            if (account.perSecond(now / MILLISECONDS) > 0) {
                int gateway =
                        account.gateways().get(random.nextInt(account.gateways().size()));
                arrive(
                        gateway,
                        new Request(
                                account.name(),
                                prompts.prompt(account, now / MILLISECONDS),
                                now,
                                0,
                                Double.POSITIVE_INFINITY));
            }
            scheduleNext(account);
        });
    }

    private void arrive(int connectedTo, Request request) {
        int gateway = IntStream.iterate(connectedTo, other -> (other + 1) % states.size())
                .filter(other -> !down.contains(other))
                .findFirst()
                .orElseThrow();
        long number = nextNumber++;
        requests.put(number, request);
        Instant instant = instant();
        handle(
                gateway,
                new GatewayEvent.CallArrived(
                        number,
                        new CallDescription(
                                "request-" + number,
                                route,
                                Optional.of(new AccountName(request.account())),
                                request.prompt(),
                                instant,
                                instant.plus(CALLER_TIMEOUT))));
    }

    private Instant instant() {
        return Instant.EPOCH.plusSeconds(100).plusNanos((long) (now * 1e6));
    }

    private void handle(int gateway, GatewayEvent event) {
        if (down.contains(gateway)) {
            return;
        }
        Transition<GatewayState, GatewayAction> transition = core.handle(states.get(gateway), event, instant());
        states.set(gateway, transition.state());
        transition.actions().forEach(action -> carryOut(gateway, action));
    }

    private void carryOut(int gateway, GatewayAction action) {
        if (action instanceof GatewayAction.Dispatch dispatch) {
            schedule(now + LINK_MILLISECONDS, () -> run(gateway, dispatch));
        } else if (action instanceof GatewayAction.Refuse refuse) {
            Request request = requests.get(refuse.call());
            if (request.refusals() < RETRIES) {
                schedule(now + RETRY_DELAY_MILLISECONDS, () -> arrive(gateway, request.retriedAt(now)));
            }
        } else if (action instanceof GatewayAction.CancelAttempt cancel) {
            engines.values()
                    .forEach(engine -> engine.end(new SimulatedEngine.Run(gateway, cancel.call(), cancel.attempt())));
        } else if (action instanceof GatewayAction.ShareCrashes share) {
            tellPeers(gateway, LINK_MILLISECONDS, new GatewayEvent.PeerCrashesReceived(share.crashes()));
        } else if (action instanceof GatewayAction.SendReport send) {
            tellPeers(gateway, reportMilliseconds, new GatewayEvent.PeerReportReceived(name(gateway), send.report()));
        }
    }

    private void tellPeers(int gateway, double milliseconds, GatewayEvent event) {
        if (!unlinked.contains(gateway)) {
            peersOf(gateway)
                    .filter(peer -> !unlinked.contains(peer))
                    .filter(peer -> !isLost(event))
                    .forEach(peer -> schedule(now + milliseconds, () -> handle(peer, event)));
        }
    }

    private boolean isLost(GatewayEvent event) {
        return lostReports > 0 && event instanceof GatewayEvent.PeerReportReceived && random.nextDouble() < lostReports;
    }

    private void run(int gateway, GatewayAction.Dispatch dispatch) {
        SimulatedEngine engine = engines.get(dispatch.upstream().identifier().value());
        SimulatedEngine.Run run = new SimulatedEngine.Run(gateway, dispatch.call(), dispatch.attempt());
        if (engine.isCrashed()) {
            end(run, new AttemptResult.NotConnected());
            return;
        }
        Prompt prompt = requests.get(dispatch.call()).prompt();
        if (SimulatedPrompts.isDeadly(prompt)) {
            deadlyRuns.add(now / MILLISECONDS);
        }
        double start = engine.prefill(now, prompt, "own-" + dispatch.call());
        engine.begin(run);
        schedule(start, () -> startResponse(engine, dispatch.upstream(), run));
    }

    private void startResponse(SimulatedEngine engine, Upstream upstream, SimulatedEngine.Run run) {
        if (!engine.isRunning(run)) {
            return;
        }
        if (SimulatedPrompts.isDeadly(requests.get(run.call()).prompt())) {
            crash(engine, upstream);
            return;
        }
        engine.responseStarted(run);
        requests.computeIfPresent(run.call(), (number, request) -> request.responseStarted(now));
        handle(run.gateway(), new GatewayEvent.ResponseStarted(run.call(), run.attempt(), true, Optional.empty()));
        schedule(now + RESPONSE_MILLISECONDS, () -> {
            if (engine.end(run)) {
                end(run, new AttemptResult.Delivered());
            }
        });
    }

    private void end(SimulatedEngine.Run run, AttemptResult result) {
        handle(run.gateway(), new GatewayEvent.AttemptEnded(run.call(), run.attempt(), result));
    }

    /** Ends all runs of an engine, whose address refuses connections until another incarnation of it registers. */
    private void crash(SimulatedEngine engine, Upstream upstream) {
        crashes.add(now / MILLISECONDS);
        engine.crash()
                .forEach((run, started) -> schedule(
                        now + LINK_MILLISECONDS,
                        () -> end(run, started ? new AttemptResult.Broken() : new AttemptResult.Lost())));
        schedule(now + REMOVAL_MILLISECONDS, () -> {
            registered = registered.minus(upstream.identifier());
            publishRegistry();
        });
        schedule(now + RESTART_MILLISECONDS, () -> {
            startEngine(upstream.identifier().value() + "-again");
            publishRegistry();
        });
    }

    private void publishRegistry() {
        IntStream.range(0, states.size())
                .forEach(gateway -> schedule(
                        now + random.nextDouble() * POLL_MILLISECONDS,
                        () -> handle(gateway, new GatewayEvent.UpstreamsChanged(registered))));
    }

    /** Runs all events before a virtual time. */
    void runUntil(double seconds) {
        while (!schedule.isEmpty() && schedule.peek().at() < seconds * MILLISECONDS) {
            ScheduledEvent next = schedule.poll();
            now = next.at();
            next.action().run();
        }
    }

    Collection<Request> requests() {
        return requests.values();
    }

    /** Returns the times of the engines' crashes, in seconds. */
    List<Double> crashes() {
        return List.copyOf(crashes);
    }

    /** Returns the times at which requests with the deadly part reached engines, in seconds. */
    List<Double> deadlyRuns() {
        return List.copyOf(deadlyRuns);
    }
}
