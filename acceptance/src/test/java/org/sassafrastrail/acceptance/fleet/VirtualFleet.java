package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.sassafrastrail.fairness.FairnessPolicy;
import org.sassafrastrail.fairness.LeastServicePolicy;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterRequest;
import org.sassafrastrail.router.core.RouterTimings;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.sidecar.core.AdditiveIncreaseLimit;
import org.sassafrastrail.sidecar.core.ConcurrencyLimit;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.SidecarTimings;

/** Simulates a fleet of routers and sidecars in memory over virtual time, with links that can be cut. */
public final class VirtualFleet {

    public static final String TARGET = "report";

    private static final Duration ROUTER_TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration SIDECAR_TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration LOAD_REPORT_INTERVAL = Duration.ofMillis(500);
    private static final Duration LINK_LATENCY = Duration.ofMillis(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final SessionTranscript transcript = new SessionTranscript(time.now());
    private final InMemoryTable table = new InMemoryTable();
    private final Duration timePerToken;
    private final List<VirtualRouter> routers = new ArrayList<>();
    private final Map<NodeName, VirtualSidecar> sidecars = new LinkedHashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Map<Object, List<Runnable>> deferred = new HashMap<>();
    private final Map<RequestIdentifier, VirtualRequest> requests = new HashMap<>();
    private final Map<RequestIdentifier, String> outcomes = new HashMap<>();
    private final Map<String, Long> servedTokens = new TreeMap<>();
    private final Map<String, Integer> counters = new TreeMap<>();
    private final Map<String, Duration> longestQueueingTimes = new TreeMap<>();
    private final List<Consumer<VirtualRequest>> endListeners = new ArrayList<>();
    private final List<Consumer<Duration>> dispatchListeners = new ArrayList<>();
    private Predicate<Message> dropped = message -> false;
    private RuleDocument rules = RuleDocument.NONE;
    private boolean platformDown;
    private long requestCount;

    public VirtualFleet(Duration timePerToken) {
        this.timePerToken = timePerToken;
    }

    public VirtualTimeScheduler time() {
        return time;
    }

    public SessionTranscript transcript() {
        return transcript;
    }

    public InMemoryTable table() {
        return table;
    }

    Duration timePerToken() {
        return timePerToken;
    }

    public List<VirtualRouter> routers() {
        return routers;
    }

    public List<VirtualSidecar> sidecars() {
        return List.copyOf(sidecars.values());
    }

    VirtualSidecar sidecar(NodeName node) {
        return sidecars.get(node);
    }

    public VirtualRouter addRouter() {
        VirtualRouter router = new VirtualRouter(this, "router-" + (routers.size() + 1), RouterTimings.STANDARD);
        routers.add(router);
        time.every(ROUTER_TICK_INTERVAL, () -> router.post(new RouterEvent.Tick()));
        return router;
    }

    public VirtualSidecar addSidecar(String version, String domain) {
        return addSidecar(version, domain, new LeastServicePolicy(), SidecarTimings.STANDARD);
    }

    public VirtualSidecar addSidecar(String version, String domain, FairnessPolicy policy, SidecarTimings timings) {
        return addSidecar(version, domain, policy, timings, new AdditiveIncreaseLimit());
    }

    public VirtualSidecar addSidecar(
            String version, String domain, FairnessPolicy policy, SidecarTimings timings, ConcurrencyLimit limit) {
        String name = "sidecar-" + (sidecars.size() + 1);
        VirtualSidecar sidecar = new VirtualSidecar(this, name, version, domain, policy, timings, limit);
        sidecars.put(sidecar.node(), sidecar);
        time.every(SIDECAR_TICK_INTERVAL, () -> sidecar.post(new SidecarEvent.Tick()));
        time.every(LOAD_REPORT_INTERVAL, () -> sidecar.engine().reportLoad(sidecar));
        sidecar.engine().reportLoad(sidecar);
        connectAll(sidecar);
        return sidecar;
    }

    /** Publishes a rule file as the next revision, as the platform does, and sends it to all routers. */
    public void publishRules(String text) {
        rules = new RuleDocument(rules.revision().next(), text, "test", time.now());
        routers.forEach(this::deliverRules);
    }

    public void setPlatformDown(boolean value) {
        platformDown = value;
    }

    public Revision currentRevision() {
        return rules.revision();
    }

    void deliverRules(VirtualRouter router) {
        RuleDocument current = rules;
        afterLinkLatency(() ->
                router.post(platformDown ? new RouterEvent.PlatformUnavailable() : new RouterEvent.RulesRead(current)));
    }

    /** Drops control messages that match the filter. */
    public void dropMessages(Predicate<Message> filter) {
        dropped = filter;
    }

    public VirtualRequest submit(VirtualRouter router, String account, long hint, long cost) {
        return submit(router, account, hint, cost, true, Duration.ofMinutes(10));
    }

    public VirtualRequest submit(
            VirtualRouter router, String account, long hint, long cost, boolean safe, Duration maximumWait) {
        VirtualRequest request =
                new VirtualRequest(new RequestIdentifier("request-" + (++requestCount)), account, hint, cost);
        requests.put(request.identifier(), request);
        router.post(new RouterEvent.RequestArrived(
                request.identifier(),
                KeyDigest.of(account),
                new TargetName(TARGET),
                "tell",
                safe,
                Optional.empty(),
                hint,
                maximumWait));
        return request;
    }

    /** Adds a listener for each request that ends, with any outcome. */
    public void onRequestEnded(Consumer<VirtualRequest> listener) {
        endListeners.add(listener);
    }

    /** Adds a listener for the queueing time of each dispatched request. */
    public void onRequestDispatched(Consumer<Duration> listener) {
        dispatchListeners.add(listener);
    }

    VirtualRequest request(RequestIdentifier identifier) {
        return requests.get(identifier);
    }

    void tokensServed(VirtualRequest request, long tokens) {
        servedTokens.merge(request.account(), tokens, Long::sum);
    }

    void requestDispatched(RouterRequest request, VirtualSidecar sidecar) {
        dispatchListeners.forEach(listener -> listener.accept(request.age(time.now())));
        increment("dispatched");
        increment("dispatched to " + sidecar.profile().version());
        longestQueueingTimes.merge(
                request.account().value(),
                request.age(time.now()),
                (first, second) -> first.compareTo(second) > 0 ? first : second);
    }

    void requestEnded(RequestIdentifier request, String outcome) {
        String previous = outcomes.put(request, outcome);
        if (previous != null) {
            throw new AssertionError(request + " ended twice: " + previous + ", " + outcome);
        }
        increment(outcome);
        endListeners.forEach(listener -> listener.accept(requests.get(request)));
    }

    void increment(String counter) {
        counters.merge(counter, 1, Integer::sum);
    }

    public Map<String, Integer> counters() {
        return counters;
    }

    public Map<RequestIdentifier, String> outcomes() {
        return outcomes;
    }

    public long servedTokens(String account) {
        return servedTokens.getOrDefault(account, 0L);
    }

    public Map<String, Duration> longestQueueingTimes() {
        return longestQueueingTimes;
    }

    public void cutLink(VirtualRouter router, VirtualSidecar sidecar) {
        cutLinks.add(link(router, sidecar));
        router.post(new RouterEvent.SidecarDisconnected(sidecar.node(), sidecar.incarnation()));
        sidecar.post(new SidecarEvent.RouterDisconnected(router.node(), 1));
    }

    public void restoreLink(VirtualRouter router, VirtualSidecar sidecar) {
        cutLinks.remove(link(router, sidecar));
        connect(router, sidecar);
    }

    private void connect(VirtualRouter router, VirtualSidecar sidecar) {
        router.post(new RouterEvent.SidecarConnected(sidecar.node(), sidecar.incarnation(), sidecar.profile()));
        sidecar.post(new SidecarEvent.RouterConnected(router.node(), 1));
    }

    void connectAll(VirtualSidecar sidecar) {
        routers.stream()
                .filter(router -> !cutLinks.contains(link(router, sidecar)))
                .forEach(router -> connect(router, sidecar));
    }

    void connectAll(VirtualRouter router) {
        sidecars.values().stream()
                .filter(sidecar -> !cutLinks.contains(link(router, sidecar)))
                .forEach(sidecar -> connect(router, sidecar));
    }

    void disconnectAll(VirtualRouter router) {
        sidecars.values().forEach(sidecar -> sidecar.post(new SidecarEvent.RouterDisconnected(router.node(), 1)));
    }

    void disconnectAll(VirtualSidecar sidecar) {
        routers.forEach(
                router -> router.post(new RouterEvent.SidecarDisconnected(sidecar.node(), sidecar.incarnation())));
    }

    void sendToRouter(VirtualSidecar sidecar, NodeName node, Message message) {
        VirtualRouter router = routers.stream()
                .filter(candidate -> candidate.node().equals(node))
                .findFirst()
                .orElseThrow();
        if (!dropped.test(message)) {
            deliverOverLink(
                    router,
                    sidecar,
                    () -> router.post(new RouterEvent.SidecarMessageReceived(sidecar.node(), message)));
        }
    }

    void sendToSidecar(VirtualRouter router, NodeName node, Message message) {
        VirtualSidecar sidecar = sidecars.get(node);
        if (!dropped.test(message)) {
            deliverOverLink(
                    router,
                    sidecar,
                    () -> sidecar.post(new SidecarEvent.RouterMessageReceived(router.node(), message)));
        }
    }

    /**
     * Runs a task at the other end of a link after the link latency, unless the link has been cut by then. Returns false
     * if the link is cut already.
     */
    boolean deliverOverLink(VirtualRouter router, VirtualSidecar sidecar, Runnable task) {
        if (cutLinks.contains(link(router, sidecar))) {
            return false;
        }
        afterLinkLatency(() -> {
            if (!cutLinks.contains(link(router, sidecar))) {
                task.run();
            }
        });
        return true;
    }

    void afterLinkLatency(Runnable task) {
        time.after(LINK_LATENCY, task);
    }

    /** Defers a task of a frozen node until the node thaws. */
    void defer(Object node, Runnable task) {
        deferred.computeIfAbsent(node, key -> new ArrayList<>()).add(task);
    }

    void runDeferred(Object node) {
        List<Runnable> tasks = deferred.remove(node);
        if (tasks != null) {
            tasks.forEach(Runnable::run);
        }
    }

    private static String link(VirtualRouter router, VirtualSidecar sidecar) {
        return router.node() + "-" + sidecar.node();
    }
}
