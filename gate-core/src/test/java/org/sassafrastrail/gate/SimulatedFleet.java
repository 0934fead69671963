package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePVector;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.AccountName;

/**
 * Simulates gateways in front of engines in virtual time. Links have a latency of one millisecond, and refused callers
 * retry once. A run is determined by its seed.
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

    /**
     * A prompt part under which each engine crashes that starts a response to it.
     *
     * @param from when requests with it begin to come, in seconds
     * @param until when they stop
     * @param share the share of the requests that have it
     * @param companions the number of sessions whose part stands beside it in turn
     */
    record DeadlyPart(double from, double until, double share, int companions) {

        static final String IDENTIFIER = "deadly";

        boolean isUsed(double second) {
            return second >= from && second < until;
        }
    }

    /** An action at a virtual time; the sequence number orders events of the same time. */
    private record ScheduledEvent(double at, long sequence, Runnable action) {}

    private final Random random;
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
    private Optional<DeadlyPart> deadlyPart = Optional.empty();
    private double now;
    private long sequence;
    private long nextNumber;

    SimulatedFleet(GatewayLimits limits, int gateways, int engineCount, long seed) {
        this.core = new GatewayCore(limits);
        this.random = new Random(seed);
        IntStream.range(0, engineCount).forEach(number -> startEngine("engine-" + number));
        for (int gateway = 0; gateway < gateways; gateway++) {
            states.add(GatewayState.start("gateway-" + gateway, Duration.ofSeconds(4)));
        }
        IntStream.range(0, gateways).forEach(gateway -> {
            handle(gateway, new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(1, TOKENS_PER_SECOND)));
            handle(gateway, new GatewayEvent.UpstreamsChanged(registered));
            handle(gateway, new GatewayEvent.GatewaysChanged(names(gateways)));
            IntStream.range(0, gateways)
                    .filter(peer -> peer != gateway)
                    .forEach(peer -> handle(gateway, new GatewayEvent.PeerConnected("gateway-" + peer)));
            schedule(random.nextDouble() * TICK_MILLISECONDS, () -> tick(gateway));
        });
    }

    private void startEngine(String name) {
        Upstream engine = GatewayDriver.upstream(name, GatewayDriver.MODEL, SLOTS);
        registered = registered.plus(engine.identifier(), engine);
        engines.put(name, new SimulatedEngine());
    }

    /** Lets a share of the requests have a part under which engines crash. */
    void addDeadlyPart(DeadlyPart part) {
        deadlyPart = Optional.of(part);
    }

    private static PSet<String> names(int gateways) {
        return HashTreePSet.from(IntStream.range(0, gateways)
                .mapToObj(number -> "gateway-" + number)
                .toList());
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
        double rate = account.perSecond(now / 1000);
        double wait = rate <= 0 ? 100 : -Math.log(1 - random.nextDouble()) * 1000 / rate;
        schedule(now + wait, () -> {
            if (account.perSecond(now / 1000) > 0) {
                int gateway =
                        account.gateways().get(random.nextInt(account.gateways().size()));
                arrive(gateway, new Request(account.name(), prompt(account), now, 0, Double.POSITIVE_INFINITY));
            }
            scheduleNext(account);
        });
    }

    /** Creates a prompt with one of a few shared system parts, a session's part and the request's own part. */
    private Prompt prompt(Account account) {
        Optional<DeadlyPart> deadly = deadlyPart.filter(part -> part.isUsed(now / 1000));
        if (deadly.isPresent() && random.nextDouble() < deadly.get().share()) {
            return deadlyPrompt(deadly.get());
        }
        double kind = random.nextDouble();
        if (kind < 0.385) {
            return prompt("report", 4, 2520, 3780, session(account, 650), ownTokens(2890, 39_600), 56);
        }
        return kind < 0.835
                ? prompt("rule", 40, 341, 227, session(account, 1150), ownTokens(1800, 6870), 24)
                : prompt("cab", 40, 103, 69, session(account, 410), ownTokens(543, 2310), 280);
    }

    /** Creates a prompt with the deadly part between parts that sound prompts have too. */
    private Prompt deadlyPrompt(DeadlyPart deadly) {
        int companion = random.nextInt(deadly.companions());
        return new Prompt(
                TreePVector.singleton(new PromptPart("report-system-" + companion % 4, 2520))
                        .plus(new PromptPart(DeadlyPart.IDENTIFIER, 1000))
                        .plus(new PromptPart("report-companion-" + companion, 3780)),
                7300 + ownTokens(2890, 39_600),
                56);
    }

    static boolean isDeadly(Prompt prompt) {
        return prompt.parts().stream().anyMatch(part -> part.identifier().equals(DeadlyPart.IDENTIFIER));
    }

    /** Picks one of the account's sessions. The sessions of a day are divided among the accounts by their rates. */
    private String session(Account account, int sessions) {
        int accountSessions = (int) Math.max(3, sessions * account.perSecond() / 830);
        return account.name() + "-" + random.nextInt(accountSessions);
    }

    private int ownTokens(double mean, int maximum) {
        return (int) Math.min(maximum, Math.max(50, mean * Math.exp(random.nextGaussian() * 0.83 - 0.35)));
    }

    private Prompt prompt(
            String kind,
            int systems,
            int systemTokens,
            int sessionTokens,
            String session,
            int ownTokens,
            int outputTokens) {
        PromptPart system = new PromptPart(kind + "-system-" + random.nextInt(systems), systemTokens);
        PromptPart part = new PromptPart(kind + "-" + session, sessionTokens);
        return new Prompt(
                TreePVector.singleton(system).plus(part), systemTokens + sessionTokens + ownTokens, outputTokens);
    }

    private void arrive(int gateway, Request request) {
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
                int other = random.nextInt(states.size());
                schedule(now + RETRY_DELAY_MILLISECONDS, () -> arrive(other, request.retriedAt(now)));
            }
        } else if (action instanceof GatewayAction.CancelAttempt cancel) {
            engines.values()
                    .forEach(engine -> engine.end(new SimulatedEngine.Run(gateway, cancel.call(), cancel.attempt())));
        } else if (action instanceof GatewayAction.ShareCrashes share) {
            IntStream.range(0, states.size())
                    .filter(peer -> peer != gateway)
                    .forEach(peer -> schedule(
                            now + LINK_MILLISECONDS,
                            () -> handle(peer, new GatewayEvent.PeerCrashesReceived(share.crashes()))));
        } else if (action instanceof GatewayAction.SendReport send) {
            IntStream.range(0, states.size())
                    .filter(peer -> peer != gateway)
                    .forEach(peer -> schedule(
                            now + LINK_MILLISECONDS,
                            () -> handle(
                                    peer, new GatewayEvent.PeerReportReceived("gateway-" + gateway, send.report()))));
        }
    }

    private void run(int gateway, GatewayAction.Dispatch dispatch) {
        SimulatedEngine engine = engines.get(dispatch.upstream().identifier().value());
        SimulatedEngine.Run run = new SimulatedEngine.Run(gateway, dispatch.call(), dispatch.attempt());
        if (engine.isCrashed()) {
            end(run, new AttemptResult.NotConnected());
            return;
        }
        Prompt prompt = requests.get(dispatch.call()).prompt();
        if (isDeadly(prompt)) {
            deadlyRuns.add(now / 1000);
        }
        double start = engine.prefill(now, prompt, "own-" + dispatch.call());
        engine.begin(run);
        schedule(start, () -> startResponse(engine, dispatch.upstream(), run));
    }

    private void startResponse(SimulatedEngine engine, Upstream upstream, SimulatedEngine.Run run) {
        if (!engine.isRunning(run)) {
            return;
        }
        if (isDeadly(requests.get(run.call()).prompt())) {
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
        crashes.add(now / 1000);
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
        while (!schedule.isEmpty() && schedule.peek().at() < seconds * 1000) {
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
