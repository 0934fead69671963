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
import org.pcollections.PMap;
import org.pcollections.TreePVector;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.AccountName;

/**
 * Many gateways before many engines, in virtual time: the cores decide, links between them take a millisecond, callers
 * that are refused come back once. The same seed gives the same run.
 */
final class SimulatedFleet {

    private static final double TICK_MILLISECONDS = 25;
    private static final double LINK_MILLISECONDS = 1;
    private static final double ANSWER_MILLISECONDS = 150;
    private static final double COME_BACK_MILLISECONDS = 350;
    private static final int RETRIES = 1;
    private static final int PLACES = 128;
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    /** What the engines give out together with parts kept as they are kept here. */
    private static final double TOKENS_PER_SECOND = 2_500_000;

    /**
     * An account's callers.
     *
     * @param name the account
     * @param gateways the gateways that its callers are connected to
     * @param perSecond requests a second
     * @param hotFrom from when it sends many times as many, in seconds
     * @param hotUntil until when
     * @param hotFactor how many times as many
     */
    record Account(
            String name, List<Integer> gateways, double perSecond, double hotFrom, double hotUntil, double hotFactor) {

        double perSecond(double second) {
            return second >= hotFrom && second < hotUntil ? perSecond * hotFactor : perSecond;
        }
    }

    /**
     * A request of a caller, and what became of it.
     *
     * @param account the account
     * @param prompt its prompt
     * @param at when it came, in milliseconds
     * @param tries how often it had been refused before
     * @param beganAt when its answer began, in milliseconds, infinite if it did not
     */
    record Asked(String account, Prompt prompt, double at, int tries, double beganAt) {

        Asked began(double time) {
            return new Asked(account, prompt, at, tries, time);
        }

        Asked again(double time) {
            return new Asked(account, prompt, time, tries + 1, Double.POSITIVE_INFINITY);
        }
    }

    /** Something that happens at a time. */
    private record Happening(double at, long order, Runnable what) {}

    private final Random random;
    private final PriorityQueue<Happening> happenings =
            new PriorityQueue<>(Comparator.comparingDouble(Happening::at).thenComparingLong(Happening::order));
    private final List<GatewayState> gates = new ArrayList<>();
    private final Map<String, SimulatedEngine> engines = new HashMap<>();
    private final Map<Long, Asked> requests = new HashMap<>();
    private final GatewayCore core;
    private final Route route = Gate.route("tell", Gate.MODEL, false, true, 1, PATIENCE);
    private double now;
    private long orders;
    private long numbers;

    SimulatedFleet(GatewayLimits limits, int gateways, int engineCount, long seed) {
        this.core = new GatewayCore(limits);
        this.random = new Random(seed);
        PMap<UpstreamIdentifier, Upstream> registered = HashTreePMap.empty();
        for (int number = 0; number < engineCount; number++) {
            Upstream engine = Gate.upstream("engine-" + number, Gate.MODEL, PLACES);
            registered = registered.plus(engine.identifier(), engine);
            engines.put(engine.identifier().value(), new SimulatedEngine());
        }
        for (int gateway = 0; gateway < gateways; gateway++) {
            gates.add(GatewayState.start(Duration.ofSeconds(4)));
        }
        PMap<UpstreamIdentifier, Upstream> upstreams = registered;
        IntStream.range(0, gateways).forEach(gateway -> {
            handle(gateway, new GatewayEvent.ConfigurationReceived(Gate.configuration(1, TOKENS_PER_SECOND)));
            handle(gateway, new GatewayEvent.UpstreamsChanged(upstreams));
            handle(gateway, new GatewayEvent.GatewayCountChanged(gateways));
            IntStream.range(0, gateways)
                    .filter(peer -> peer != gateway)
                    .forEach(peer -> handle(gateway, new GatewayEvent.PeerConnected("gateway-" + peer)));
            at(random.nextDouble() * TICK_MILLISECONDS, () -> tick(gateway));
        });
    }

    private void at(double time, Runnable what) {
        happenings.add(new Happening(time, orders++, what));
    }

    private void tick(int gateway) {
        handle(gateway, new GatewayEvent.Ticked());
        at(now + TICK_MILLISECONDS, () -> tick(gateway));
    }

    /** Lets an account's callers send. */
    void sends(Account account) {
        at(0, () -> next(account));
    }

    private void next(Account account) {
        double rate = account.perSecond(now / 1000);
        double wait = rate <= 0 ? 100 : -Math.log(1 - random.nextDouble()) * 1000 / rate;
        at(now + wait, () -> {
            if (account.perSecond(now / 1000) > 0) {
                int gateway =
                        account.gateways().get(random.nextInt(account.gateways().size()));
                arrive(gateway, new Asked(account.name(), prompt(account), now, 0, Double.POSITIVE_INFINITY));
            }
            next(account);
        });
    }

    /** Prompts like a model's: few system parts, a session's part, the request's own. */
    private Prompt prompt(Account account) {
        double kind = random.nextDouble();
        if (kind < 0.385) {
            return prompt("report", 4, 2520, 3780, sessions(account, 650), spread(2890, 39_600), 56);
        }
        return kind < 0.835
                ? prompt("rule", 40, 341, 227, sessions(account, 1150), spread(1800, 6870), 24)
                : prompt("cab", 40, 103, 69, sessions(account, 410), spread(543, 2310), 280);
    }

    /** Sessions belong to the whole day; an account has its part of them. */
    private String sessions(Account account, int sessions) {
        int own = (int) Math.max(3, sessions * account.perSecond() / 830);
        return account.name() + "-" + random.nextInt(own);
    }

    private int spread(double mean, int most) {
        return (int) Math.min(most, Math.max(50, mean * Math.exp(random.nextGaussian() * 0.83 - 0.35)));
    }

    private Prompt prompt(
            String kind, int systems, int systemTokens, int sessionTokens, String session, int own, int out) {
        PromptPart system = new PromptPart(kind + "-system-" + random.nextInt(systems), systemTokens);
        PromptPart part = new PromptPart(kind + "-" + session, sessionTokens);
        return new Prompt(TreePVector.singleton(system).plus(part), systemTokens + sessionTokens + own, out);
    }

    private void arrive(int gateway, Asked asked) {
        long number = numbers++;
        requests.put(number, asked);
        Instant instant = instant();
        handle(
                gateway,
                new GatewayEvent.CallArrived(
                        number,
                        new CallDescription(
                                "request-" + number,
                                route,
                                Optional.of(new AccountName(asked.account())),
                                asked.prompt(),
                                instant,
                                instant.plus(PATIENCE))));
    }

    private Instant instant() {
        return Instant.EPOCH.plusSeconds(100).plusNanos((long) (now * 1e6));
    }

    private void handle(int gateway, GatewayEvent event) {
        Transition<GatewayState, GatewayAction> transition = core.handle(gates.get(gateway), event, instant());
        gates.set(gateway, transition.state());
        transition.actions().forEach(action -> carryOut(gateway, action));
    }

    private void carryOut(int gateway, GatewayAction action) {
        if (action instanceof GatewayAction.Dispatch dispatch) {
            at(now + LINK_MILLISECONDS, () -> run(gateway, dispatch));
        } else if (action instanceof GatewayAction.Refuse refuse) {
            Asked asked = requests.get(refuse.call());
            if (asked.tries() < RETRIES) {
                int other = random.nextInt(gates.size());
                at(now + COME_BACK_MILLISECONDS, () -> arrive(other, asked.again(now)));
            }
        } else if (action instanceof GatewayAction.SendReport tell) {
            IntStream.range(0, gates.size())
                    .filter(peer -> peer != gateway)
                    .forEach(peer -> at(
                            now + LINK_MILLISECONDS,
                            () -> handle(
                                    peer, new GatewayEvent.PeerReportReceived("gateway-" + gateway, tell.report()))));
        }
    }

    private void run(int gateway, GatewayAction.Dispatch dispatch) {
        double begins = engines.get(dispatch.upstream().identifier().value())
                .take(now, requests.get(dispatch.call()).prompt(), "own-" + dispatch.call());
        at(begins, () -> {
            requests.computeIfPresent(dispatch.call(), (number, asked) -> asked.began(now));
            handle(gateway, new GatewayEvent.ResponseStarted(dispatch.call(), dispatch.attempt()));
        });
        at(
                begins + ANSWER_MILLISECONDS,
                () -> handle(
                        gateway,
                        new GatewayEvent.AttemptEnded(
                                dispatch.call(), dispatch.attempt(), new AttemptResult.Delivered())));
    }

    /** Lets time pass. */
    void runUntil(double seconds) {
        while (!happenings.isEmpty() && happenings.peek().at() < seconds * 1000) {
            Happening next = happenings.poll();
            now = next.at();
            next.what().run();
        }
    }

    Collection<Asked> requests() {
        return requests.values();
    }
}
