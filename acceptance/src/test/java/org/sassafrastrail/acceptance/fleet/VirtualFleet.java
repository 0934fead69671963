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

/** Routers and sidecars in memory, with links that can be cut, over virtual time. */
public final class VirtualFleet {

    public static final String TARGET = "report";

    private static final Duration ROUTER_TICK = Duration.ofMillis(50);
    private static final Duration SIDECAR_TICK = Duration.ofMillis(100);
    private static final Duration REPORTS = Duration.ofMillis(500);
    private static final Duration LATENCY = Duration.ofMillis(1);

    private final VirtualTime time = new VirtualTime();
    private final SessionLog log = new SessionLog(time.now());
    private final VirtualTable table = new VirtualTable();
    private final Duration token;
    private final List<VirtualRouter> routers = new ArrayList<>();
    private final Map<NodeName, VirtualSidecar> sidecars = new LinkedHashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Map<Object, List<Runnable>> kept = new HashMap<>();
    private final Map<RequestIdentifier, VirtualRequest> requests = new HashMap<>();
    private final Map<RequestIdentifier, String> endings = new HashMap<>();
    private final Map<String, Long> service = new TreeMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, Duration> longestWaits = new TreeMap<>();
    private final List<Consumer<VirtualRequest>> endListeners = new ArrayList<>();
    private final List<Consumer<Duration>> waitListeners = new ArrayList<>();
    private Predicate<Message> lost = message -> false;
    private RuleDocument rules = RuleDocument.NONE;
    private boolean platformDown;
    private long numbers;

    public VirtualFleet(Duration token) {
        this.token = token;
    }

    public VirtualTime time() {
        return time;
    }

    public SessionLog log() {
        return log;
    }

    public VirtualTable table() {
        return table;
    }

    Duration token() {
        return token;
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
        time.every(ROUTER_TICK, () -> router.post(new RouterEvent.Tick()));
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
        time.every(SIDECAR_TICK, () -> sidecar.post(new SidecarEvent.Tick()));
        time.every(REPORTS, () -> sidecar.engine().report(sidecar));
        sidecar.engine().report(sidecar);
        connectAll(sidecar);
        return sidecar;
    }

    /** Brings a rule file into force, as the platform does. */
    public void accept(String text) {
        rules = new RuleDocument(rules.revision().next(), text, "test", time.now());
        routers.forEach(this::readRules);
    }

    public void platformDown(boolean next) {
        platformDown = next;
    }

    public Revision revision() {
        return rules.revision();
    }

    void readRules(VirtualRouter router) {
        RuleDocument current = rules;
        later(() ->
                router.post(platformDown ? new RouterEvent.PlatformUnavailable() : new RouterEvent.RulesRead(current)));
    }

    /** Loses messages of some kinds. */
    public void lose(Predicate<Message> which) {
        lost = which;
    }

    public VirtualRequest submit(VirtualRouter router, String account, long hint, long cost) {
        return submit(router, account, hint, cost, true, Duration.ofMinutes(10));
    }

    public VirtualRequest submit(
            VirtualRouter router, String account, long hint, long cost, boolean safe, Duration patience) {
        VirtualRequest request =
                new VirtualRequest(new RequestIdentifier("request-" + (++numbers)), account, hint, cost);
        requests.put(request.identifier(), request);
        router.post(new RouterEvent.RequestArrived(
                request.identifier(),
                KeyDigest.of(account),
                new TargetName(TARGET),
                "tell",
                safe,
                Optional.empty(),
                hint,
                patience));
        return request;
    }

    /** Hears of each request that has ended, however it ended. */
    public void onEnd(Consumer<VirtualRequest> listener) {
        endListeners.add(listener);
    }

    /** Hears how long each request waited before it was sent to a sidecar. */
    public void onDispatch(Consumer<Duration> listener) {
        waitListeners.add(listener);
    }

    VirtualRequest request(RequestIdentifier identifier) {
        return requests.get(identifier);
    }

    void delivered(VirtualRequest request, long tokens) {
        service.merge(request.account(), tokens, Long::sum);
    }

    void dispatched(RouterRequest request, VirtualSidecar sidecar) {
        waitListeners.forEach(listener -> listener.accept(request.age(time.now())));
        count("dispatched");
        count("dispatched to " + sidecar.profile().version());
        longestWaits.merge(
                request.account().value(),
                request.age(time.now()),
                (first, second) -> first.compareTo(second) > 0 ? first : second);
    }

    void ended(RequestIdentifier request, String how) {
        String before = endings.put(request, how);
        if (before != null) {
            throw new AssertionError(request + " ended twice: " + before + ", " + how);
        }
        count(how);
        endListeners.forEach(listener -> listener.accept(requests.get(request)));
    }

    void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    public Map<String, Integer> counts() {
        return counts;
    }

    public Map<RequestIdentifier, String> endings() {
        return endings;
    }

    public long service(String account) {
        return service.getOrDefault(account, 0L);
    }

    public Map<String, Duration> longestWaits() {
        return longestWaits;
    }

    public void cut(VirtualRouter router, VirtualSidecar sidecar) {
        cuts.add(link(router, sidecar));
        router.post(new RouterEvent.SidecarDisconnected(sidecar.node(), sidecar.incarnation()));
        sidecar.post(new SidecarEvent.RouterDisconnected(router.node(), 1));
    }

    public void heal(VirtualRouter router, VirtualSidecar sidecar) {
        cuts.remove(link(router, sidecar));
        connect(router, sidecar);
    }

    private void connect(VirtualRouter router, VirtualSidecar sidecar) {
        router.post(new RouterEvent.SidecarConnected(sidecar.node(), sidecar.incarnation(), sidecar.profile()));
        sidecar.post(new SidecarEvent.RouterConnected(router.node(), 1));
    }

    void connectAll(VirtualSidecar sidecar) {
        routers.stream()
                .filter(router -> !cuts.contains(link(router, sidecar)))
                .forEach(router -> connect(router, sidecar));
    }

    void connectAll(VirtualRouter router) {
        sidecars.values().stream()
                .filter(sidecar -> !cuts.contains(link(router, sidecar)))
                .forEach(sidecar -> connect(router, sidecar));
    }

    void disconnectAll(VirtualRouter router) {
        sidecars.values().forEach(sidecar -> sidecar.post(new SidecarEvent.RouterDisconnected(router.node(), 1)));
    }

    void disconnectAll(VirtualSidecar sidecar) {
        routers.forEach(
                router -> router.post(new RouterEvent.SidecarDisconnected(sidecar.node(), sidecar.incarnation())));
    }

    void fromSidecar(VirtualSidecar sidecar, NodeName node, Message message) {
        VirtualRouter router = routers.stream()
                .filter(candidate -> candidate.node().equals(node))
                .findFirst()
                .orElseThrow();
        if (!lost.test(message)) {
            overLink(
                    router,
                    sidecar,
                    () -> router.post(new RouterEvent.SidecarMessageReceived(sidecar.node(), message)));
        }
    }

    void fromRouter(VirtualRouter router, NodeName node, Message message) {
        VirtualSidecar sidecar = sidecars.get(node);
        if (!lost.test(message)) {
            overLink(
                    router,
                    sidecar,
                    () -> sidecar.post(new SidecarEvent.RouterMessageReceived(router.node(), message)));
        }
    }

    /** Does something at the other end of a link after its latency; tells whether the link is whole. */
    boolean overLink(VirtualRouter router, VirtualSidecar sidecar, Runnable work) {
        if (cuts.contains(link(router, sidecar))) {
            return false;
        }
        later(() -> {
            if (!cuts.contains(link(router, sidecar))) {
                work.run();
            }
        });
        return true;
    }

    void later(Runnable work) {
        time.after(LATENCY, work);
    }

    /** Keeps what a frozen node has to do until it thaws. */
    void keep(Object node, Runnable work) {
        kept.computeIfAbsent(node, frozen -> new ArrayList<>()).add(work);
    }

    void thaw(Object node) {
        List<Runnable> missed = kept.remove(node);
        if (missed != null) {
            missed.forEach(Runnable::run);
        }
    }

    private static String link(VirtualRouter router, VirtualSidecar sidecar) {
        return router.node() + "-" + sidecar.node();
    }
}
