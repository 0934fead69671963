package org.sassafrastrail.gateway;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.gate.DrainSchedule;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayCore;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.GatewayState;
import org.sassafrastrail.http.JsonResponses;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.runtime.ControlLoop;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Logging;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;
import org.sassafrastrail.runtime.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The gateway process: listeners for callers and readiness checks, the control thread, peer links and cluster state. */
public final class GatewayDaemon implements Service {

    private static final Duration TICK = Duration.ofMillis(25);

    private static final Duration WRITE_TIME_OF_LAST_RESPONSES = Duration.ofMillis(200);

    /** The time to close the connections of the requests that are unfinished at the end. */
    private static final Duration ABORT_TIME = Duration.ofMillis(100);

    private static final int BUFFER_BYTES = 16 * 1024;

    private final GatewaySettings settings;
    private final ClusterStateSource clusterState;
    private final EventLog log = new EventLog("org.sassafrastrail.gateway");
    private final Metrics metrics = new Metrics(new MetricRegistry());
    private final CountDownLatch drained = new CountDownLatch(1);
    private final ControlLoop<GatewayState, GatewayEvent, GatewayAction> control;
    private final Ticker ticker;
    private final XnioWorker worker;
    private final ThreadLag ioThreadLag;
    private final AdmissionPolicy admission;
    private final CallerFrontEnd callers;
    private final CallerListener callerListener;
    private final CallerListener readinessListener;
    private final PeerLinks peers;
    private final ActivityLog activity;
    private final Optional<SingletonDuties> duties;
    private boolean overloaded;
    private Runnable stopWatching = () -> {};

    /**
     * Creates a gateway without duties, which is not started yet.
     *
     * @param settings the settings of the gateway
     * @param protocol the headers of callers and upstreams
     * @param clusterState the source of configurations and upstreams
     * @param clock a monotonic clock
     */
    public GatewayDaemon(
            GatewaySettings settings, CallerProtocol protocol, ClusterStateSource clusterState, Clock clock) {
        this(settings, protocol, clusterState, Optional.empty(), clock, clock);
    }

    /**
     * Creates a gateway that is not started yet.
     *
     * @param settings the settings of the gateway
     * @param protocol the headers of callers and upstreams
     * @param clusterState the source of configurations and upstreams
     * @param dutyPlatform the platform's side of duties, empty without duties
     * @param clock a monotonic clock
     * @param wallClock the wall clock
     */
    public GatewayDaemon(
            GatewaySettings settings,
            CallerProtocol protocol,
            ClusterStateSource clusterState,
            Optional<DutyPlatform> dutyPlatform,
            Clock clock,
            Clock wallClock) {
        this.settings = settings;
        this.clusterState = clusterState;
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        this.worker = createWorker();
        this.ioThreadLag = new ThreadLag(worker.getIoThread(), clock);
        this.admission = new LagAdmissionPolicy(
                this::lag,
                new RecentRequestCounts(clock),
                settings.limits().maxQueueingShare(),
                FileDescriptorLimit.maxCallerConnections());
        AccountActivity accounts = new AccountActivity();
        LoggingCallRecorder recorder = new LoggingCallRecorder(metrics, log, accounts, this::requestBegan);
        this.callers = new CallerFrontEnd(protocol, this::state, this::post, recorder, admission, clock, buffers);
        this.activity = new ActivityLog(accounts, this::state, this::lag, callers::connectionCount, clock, log);
        Incarnation incarnation = new Incarnation(clock.millis());
        this.peers = new PeerLinks(settings, incarnation, this::post, () -> state().tableWatchers(), metrics, log);
        GatewayActionExecutor actions =
                new GatewayActionExecutor(callers, peers, clusterState, drained::countDown, recorder, metrics, log);
        this.duties = settings.configuredDuties()
                .flatMap(dutySettings -> dutyPlatform.map(platform -> new SingletonDuties(
                        new DutyContext(
                                new DutyHolder(settings.node(), incarnation.value()),
                                dutySettings,
                                platform,
                                peers,
                                clock,
                                metrics,
                                log),
                        wallClock)));
        this.control = new ControlLoop<>(
                "control",
                new GatewayCore(settings.limits()),
                GatewayState.start(settings.node(), settings.domain(), settings.quotaWindow()),
                actions,
                clock,
                metrics,
                log);
        this.ticker = new Ticker(TICK, this::busy, this::tick, log);
        metrics.gauge("log-lines-dropped", Logging::droppedLines);
        metrics.gauge("traffic-lag-ms", () -> ioThreadLag.lag().toMillis());
        this.callerListener = new CallerListener(settings.callers(), worker, buffers, callers, metrics, log);
        this.readinessListener =
                new CallerListener(settings.readiness(), worker, buffers, this::handleReadiness, metrics, log);
    }

    private static XnioWorker createWorker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException failure) {
            throw new ServiceStartException("I/O threads", failure);
        }
    }

    private void handleReadiness(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/metrics")) {
            JsonResponses.send(exchange, metrics.toJson());
            return;
        }
        exchange.setStatusCode(ready() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    /** An overloaded gateway is not ready either, so that it serves the callers that it has and gets no new ones. */
    private boolean ready() {
        return state().ready() && admission.isCaughtUp();
    }

    private void requestBegan(AccountName account) {
        duties.ifPresent(present -> present.requestBegan(account));
    }

    private void tick() {
        ioThreadLag.probe();
        activity.logIfDue();
        updateOverload(!admission.isCaughtUp());
        post(new GatewayEvent.LagMeasured(lag()));
        post(new GatewayEvent.Ticked());
    }

    private void updateOverload(boolean overloaded) {
        if (overloaded != this.overloaded) {
            this.overloaded = overloaded;
            callerListener.setAccepting(!overloaded);
            log.warn(
                    overloaded ? "overloaded" : "keeps-up",
                    LogField.of("control-lag-ms", control.lag().toMillis()),
                    LogField.of("traffic-lag-ms", ioThreadLag.lag().toMillis()));
        }
    }

    /** The lag of this process: the longer of the lags of the control thread and the I/O thread. */
    private Duration lag() {
        return Collections.max(List.of(control.lag(), ioThreadLag.lag()));
    }

    private GatewayState state() {
        return control.state();
    }

    private void post(GatewayEvent event) {
        control.post(event);
    }

    private boolean busy() {
        return state().isBusy();
    }

    @Override
    public void start() {
        control.start();
        ticker.start();
        peers.start();
        stopWatching = clusterState.watch(this::post, peers, metrics);
        duties.ifPresent(Service::start);
        readinessListener.start();
        callerListener.start();
        log.info("started", LogField.of("node", settings.node()), LogField.of("callers", settings.callers()));
    }

    /**
     * Shuts down gracefully. Reports not ready at once. After the platform has had time to notice, closes each connection
     * as it becomes idle, because a response whose head was sent before could not announce the close. Callers who connect
     * nevertheless have no other gateway, so connections are accepted until the end. Ends when each request has its final
     * response, or when the drain time is over.
     */
    @Override
    public void stop() {
        log.info("stopping", LogField.of("node", settings.node()));
        post(new GatewayEvent.StopRequested());
        DrainSchedule drain = settings.limits().drain();
        boolean drainedAlready = awaitDrained(drain.admission());
        callers.closeWhenIdle();
        if (!drainedAlready) {
            awaitDrained(drain.maximum().minus(drain.admission()));
        }
        callerListener.stopAccepting();
        callers.awaitFinished(WRITE_TIME_OF_LAST_RESPONSES);
        callers.abortUnfinished();
        callers.awaitFinished(ABORT_TIME);
        duties.ifPresent(Service::stop);
        stopWatching.run();
        callerListener.stop();
        readinessListener.stop();
        ticker.stop();
        peers.stop();
        control.stop();
        worker.shutdownNow();
        log.info("stopped", LogField.of("node", settings.node()));
    }

    private boolean awaitDrained(Duration timeout) {
        try {
            return drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return true;
        }
    }
}
