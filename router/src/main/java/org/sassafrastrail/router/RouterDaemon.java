package org.sassafrastrail.router;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import org.sassafrastrail.durable.ControllerLeaseStore;
import org.sassafrastrail.durable.IdempotencyKeyStore;
import org.sassafrastrail.durable.MoveProgressStore;
import org.sassafrastrail.durable.RuleFileStore;
import org.sassafrastrail.durable.TableService;
import org.sassafrastrail.http.HttpServerService;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.platform.PlatformObjectStore;
import org.sassafrastrail.platform.PlatformTableService;
import org.sassafrastrail.platform.PlatformVmList;
import org.sassafrastrail.platform.StoreEndpoint;
import org.sassafrastrail.rollout.BaselineRegressionDetector;
import org.sassafrastrail.rollout.PacedRolloutPolicy;
import org.sassafrastrail.rollout.RolloutCore;
import org.sassafrastrail.router.core.BudgetedRetryPolicy;
import org.sassafrastrail.router.core.JitteredBackoff;
import org.sassafrastrail.router.core.RouterCore;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterProcessAction;
import org.sassafrastrail.router.core.RouterProcessCore;
import org.sassafrastrail.router.core.RouterProcessEvent;
import org.sassafrastrail.router.core.RouterProcessState;
import org.sassafrastrail.router.core.RouterState;
import org.sassafrastrail.router.core.RouterTimings;
import org.sassafrastrail.runtime.CompositeService;
import org.sassafrastrail.runtime.ControlLoop;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.PeriodicTask;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.Ticker;
import org.sassafrastrail.runtime.TrafficThreadPool;
import org.sassafrastrail.wire.LinkSettings;
import org.sassafrastrail.wire.MessagePackCodec;

/**
 * The router daemon: assembles and starts the services of a router. On stop it completes the accepted requests before
 * it shuts the services down.
 */
public final class RouterDaemon implements Service {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final Duration RULES_INTERVAL = Duration.ofSeconds(1);
    private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration LEASE_DURATION = Duration.ofSeconds(5);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_STEP_DURATION = Duration.ofSeconds(10);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long MIN_ATTEMPTS_PER_STEP = 10;
    private static final int CLIENT_THREADS = 2;
    private static final long MAX_DRAIN_SECONDS = 120;

    private final EventLog log = new EventLog("org.sassafrastrail.router");
    private final RouterSettings settings;
    private final ControlLoop<RouterProcessState, RouterProcessEvent, RouterProcessAction> loop;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final CompositeService services;

    /**
     * Creates a router.
     *
     * @param settings the settings of the router
     * @param clock the clock
     */
    public RouterDaemon(RouterSettings settings, Clock clock) {
        this.settings = settings;
        Incarnation incarnation = new Incarnation(clock.millis());
        NodeName node = new NodeName(settings.node());
        Metrics metrics = new Metrics(new MetricRegistry());
        RequestTraces traces = new RequestTraces(clock);
        RouterTelemetry telemetry = new RouterTelemetry(metrics, log, traces, clock);
        UndertowHttpClient httpClient = new UndertowHttpClient(CLIENT_THREADS);
        TrafficThreadPool threads = new TrafficThreadPool();
        PendingCalls calls = new PendingCalls();
        StoreEndpoint platformEndpoint = new StoreEndpoint(
                settings.platformHost(),
                settings.platformPort(),
                Duration.ofMillis(settings.platformPatienceMilliseconds()));
        SidecarLinks links = new SidecarLinks(
                new PlatformVmList(httpClient, platformEndpoint),
                new RendezvousSidecarSelection(node, settings.linkLimit()),
                settings.seedSidecars(),
                this::post);
        links.configure(linkSettings(node, incarnation, links, metrics));
        PlatformClient platform = platformClient(httpClient, platformEndpoint, node, incarnation, clock);
        Dispatcher dispatcher =
                new Dispatcher(calls, links, httpClient, threads, this::post, metrics, settings.linkKey());
        this.loop = new ControlLoop<>(
                "control",
                processCore(),
                initialState(clock),
                new RouterActionExecutor(calls, dispatcher, links, platform, threads, telemetry, drained),
                clock,
                metrics,
                log);
        HttpHandler callers = new CallerFrontEnd(
                settings, Long.toString(incarnation.value(), Character.MAX_RADIX), calls, this::post, telemetry);
        HttpHandler operators = new OperatorFrontEnd(() -> loop.state().router(), metrics, traces, settings);
        registerGauges(metrics);
        this.services = new CompositeService(List.of(
                httpClient,
                threads,
                platform,
                loop,
                new Ticker(TICK_INTERVAL, this::isBusy, () -> post(new RouterEvent.Tick()), log),
                new PeriodicTask("rules", RULES_INTERVAL, platform::readRulesNow, log),
                links,
                new PeriodicTask("vm-list", VM_LIST_INTERVAL, links::refresh, log),
                new HttpServerService(settings.host(), settings.port(), handler(callers, operators))));
    }

    private static HttpHandler handler(HttpHandler callers, HttpHandler operators) {
        return Handlers.path(callers)
                .addExactPath("/health", operators)
                .addExactPath("/ready", operators)
                .addPrefixPath("/operator", operators);
    }

    private LinkSettings linkSettings(NodeName node, Incarnation incarnation, SidecarLinks links, Metrics metrics) {
        Hello hello = new Hello(Hello.PROTOCOL_VERSION, settings.linkKey(), node, incarnation, Optional.empty());
        return new LinkSettings(
                () -> hello, new MessagePackCodec(), links, metrics, log, CONNECT_TIMEOUT, Duration.ZERO);
    }

    private PlatformClient platformClient(
            UndertowHttpClient httpClient,
            StoreEndpoint platformEndpoint,
            NodeName node,
            Incarnation incarnation,
            Clock clock) {
        TableService table = new PlatformTableService(httpClient, platformEndpoint);
        Consumer<RouterProcessEvent> control = event -> loop().post(event);
        return new PlatformClient(
                new RuleFileStore(table, new PlatformObjectStore(httpClient, platformEndpoint)),
                new IdempotencyKeyStore(table),
                new ControllerLeaseStore(table, node, incarnation, LEASE_DURATION),
                new MoveProgressStore(table),
                clock,
                () -> loop().state().router().configuration().document().revision(),
                control);
    }

    private static RouterProcessCore processCore() {
        return new RouterProcessCore(
                new RouterCore(RouterTimings.STANDARD, new BaselineRegressionDetector()),
                new RolloutCore(
                        new PacedRolloutPolicy(MIN_ATTEMPTS_PER_STEP, MAX_STEP_DURATION),
                        new BaselineRegressionDetector()));
    }

    private RouterProcessState initialState(Clock clock) {
        BudgetedRetryPolicy retryPolicy =
                new BudgetedRetryPolicy(new JitteredBackoff(settings.seed(), INITIAL_BACKOFF));
        return RouterProcessState.start(RouterState.start(retryPolicy, clock.instant()), clock.instant());
    }

    private void registerGauges(Metrics metrics) {
        metrics.gauge("revision", () -> loop.state()
                .router()
                .configuration()
                .document()
                .revision()
                .value());
        metrics.gauge("requests-waiting", () -> loop.state().router().queues().size());
        metrics.gauge("requests-running", () -> loop.state().router().running().size());
        metrics.gauge("sidecars-linked", () -> loop.state().router().sidecars().size());
    }

    /** Returns the control loop, for lambdas that are created in the constructor before the field is assigned. */
    private ControlLoop<RouterProcessState, RouterProcessEvent, RouterProcessAction> loop() {
        return loop;
    }

    private boolean isBusy() {
        return !loop.state().router().idle();
    }

    private void post(RouterEvent event) {
        loop.post(new RouterProcessEvent.ForRouter(event));
    }

    @Override
    public void start() {
        services.start();
        log.info(
                "router-started",
                LogField.of("node", settings.node()),
                LogField.of("port", settings.port()),
                LogField.of("links", settings.linkKey().isEmpty() ? "open" : "keyed"));
    }

    @Override
    public void stop() {
        post(new RouterEvent.StopRequested());
        try {
            boolean complete = drained.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
            log.info("router-stopped", LogField.of("node", settings.node()), LogField.of("whole", complete));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        services.stop();
    }
}
