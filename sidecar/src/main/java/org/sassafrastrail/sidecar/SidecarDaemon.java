package org.sassafrastrail.sidecar;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Handlers;
import org.sassafrastrail.fairness.CorrectedHintEstimator;
import org.sassafrastrail.fairness.LeastServicePolicy;
import org.sassafrastrail.fairness.MeanCostEstimator;
import org.sassafrastrail.http.HttpServerService;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.UpstreamEndpoint;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.TargetKind;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rules.TargetRule;
import org.sassafrastrail.runtime.CompositeService;
import org.sassafrastrail.runtime.ControlLoop;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.PeriodicTask;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.Ticker;
import org.sassafrastrail.runtime.TrafficThreadPool;
import org.sassafrastrail.sidecar.core.AdditiveIncreaseLimit;
import org.sassafrastrail.sidecar.core.ConcurrencyLimit;
import org.sassafrastrail.sidecar.core.GradientLimit;
import org.sassafrastrail.sidecar.core.SidecarAction;
import org.sassafrastrail.sidecar.core.SidecarCore;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.SidecarIdentity;
import org.sassafrastrail.sidecar.core.SidecarState;
import org.sassafrastrail.sidecar.core.SidecarTimings;
import org.sassafrastrail.wire.LinkServer;
import org.sassafrastrail.wire.LinkSettings;
import org.sassafrastrail.wire.MessagePackCodec;

/** The sidecar process: wires its components, starts them, and on shutdown drains running requests before it stops. */
public final class SidecarDaemon implements Service {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration LOAD_INTERVAL = Duration.ofMillis(500);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long INITIAL_ESTIMATE_TOKENS = 50;
    private static final int CLIENT_THREADS = 1;
    private static final long MAX_DRAIN_SECONDS = 120;

    private final EventLog log = new EventLog("org.sassafrastrail.sidecar");
    private final SidecarSettings settings;
    private final ControlLoop<SidecarState, SidecarEvent, SidecarAction> loop;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final CompositeService services;

    /**
     * Creates a sidecar.
     *
     * @param settings the settings
     * @param clock the clock
     */
    public SidecarDaemon(SidecarSettings settings, Clock clock) {
        this.settings = settings;
        SidecarIdentity identity = identity(settings, clock);
        Metrics metrics = new Metrics(new MetricRegistry());
        UndertowHttpClient client = new UndertowHttpClient(CLIENT_THREADS);
        TrafficThreadPool threads = new TrafficThreadPool();
        RouterLinks links = new RouterLinks(this::post);
        DispatchFrontEnd dispatches = new DispatchFrontEnd(settings, this::post, log);
        UpstreamForwarder forwarder = new UpstreamForwarder(settings, client, () -> targetKind(identity), this::post);
        this.loop = new ControlLoop<>(
                "control",
                new SidecarCore(identity, new LeastServicePolicy(), SidecarTimings.STANDARD),
                initialState(settings, clock),
                new SidecarActionExecutor(dispatches, forwarder, links, threads, metrics, log, drained),
                clock,
                metrics,
                log);
        LoadPoller poller = new LoadPoller(settings, client, this::post);
        OperatorFrontEnd operators = new OperatorFrontEnd(settings, () -> loop().state(), metrics);
        registerGauges(metrics);
        this.services = new CompositeService(List.of(
                client,
                threads,
                loop,
                new Ticker(TICK_INTERVAL, this::isBusy, () -> post(new SidecarEvent.Tick()), log),
                new PeriodicTask("load", LOAD_INTERVAL, poller::poll, log),
                new HttpServerService(
                        settings.host(),
                        settings.dispatchPort(),
                        Handlers.path(dispatches)
                                .addExactPath("/health", operators)
                                .addPrefixPath("/operator", operators)),
                new LinkServer(settings.host(), settings.controlPort(), linkSettings(identity, links, metrics))));
    }

    private static SidecarIdentity identity(SidecarSettings settings, Clock clock) {
        UpstreamProfile profile = new UpstreamProfile(
                new TargetName(settings.target()),
                new VersionName(settings.version()),
                new FailureDomainName(settings.failureDomain()));
        return new SidecarIdentity(new NodeName(settings.node()), new Incarnation(clock.millis()), profile);
    }

    private static SidecarState initialState(SidecarSettings settings, Clock clock) {
        ConcurrencyLimit limit =
                settings.limit().equals("gradient") ? new GradientLimit() : new AdditiveIncreaseLimit();
        return SidecarState.start(
                limit, new CorrectedHintEstimator(new MeanCostEstimator(INITIAL_ESTIMATE_TOKENS)), clock.instant());
    }

    private LinkSettings linkSettings(SidecarIdentity identity, RouterLinks links, Metrics metrics) {
        Hello hello = new Hello(
                Hello.PROTOCOL_VERSION,
                settings.linkKey(),
                identity.node(),
                identity.incarnation(),
                Optional.of(new UpstreamEndpoint(identity.profile(), settings.dispatchPort())));
        return new LinkSettings(
                () -> hello, new MessagePackCodec(), links, metrics, log, CONNECT_TIMEOUT, Duration.ZERO);
    }

    private TargetKind targetKind(SidecarIdentity identity) {
        return loop.state()
                .rules()
                .target(identity.profile().target())
                .map(TargetRule::kind)
                .orElse(TargetKind.SERVICE);
    }

    private void registerGauges(Metrics metrics) {
        metrics.gauge(
                "revision",
                () -> loop.state().configuration().document().revision().value());
        metrics.gauge("in-flight", () -> loop.state().work().running().size());
        metrics.gauge("limit", () -> loop.state().upstream().limit().current());
        metrics.gauge("grants-made", () -> loop.state().work().lastSequence());
        metrics.gauge("fairness-gap-tokens", () -> loop.state().fairnessGap(new TargetName(settings.target())));
        metrics.gauge("routers-linked", () -> loop.state().routers().size());
    }

    private ControlLoop<SidecarState, SidecarEvent, SidecarAction> loop() {
        return loop;
    }

    private boolean isBusy() {
        return loop.state().work().usedSlots() > 0;
    }

    private void post(SidecarEvent event) {
        loop.post(event);
    }

    @Override
    public void start() {
        services.start();
        log.info(
                "sidecar-started",
                LogField.of("node", settings.node()),
                LogField.of("target", settings.target()),
                LogField.of("version", settings.version()),
                LogField.of("links", settings.linkKey().isEmpty() ? "open" : "keyed"));
    }

    @Override
    public void stop() {
        post(new SidecarEvent.StopRequested());
        try {
            boolean complete = drained.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
            log.info("sidecar-stopped", LogField.of("node", settings.node()), LogField.of("whole", complete));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        services.stop();
    }
}
