package org.sassafrastrail.gateway;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayCore;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.GatewayState;
import org.sassafrastrail.http.JsonResponses;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.runtime.ControlLoop;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceFailure;
import org.sassafrastrail.runtime.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The gateway as a process: callers' and readiness listeners, the control thread, and what it learns from around it. */
public final class GatewayDaemon implements Service {

    private static final Duration TICK = Duration.ofMillis(25);

    /** The platform asks every second and needs two misses; one second more lets callers' connections arrive. */
    private static final Duration ACCEPTING_WHILE_STOPPING = Duration.ofMillis(2700);

    private static final int BUFFER_BYTES = 16 * 1024;

    private final GatewaySettings settings;
    private final ClusterStateSource clusterState;
    private final EventLog log = new EventLog("org.sassafrastrail.gateway");
    private final Metrics metrics = new Metrics(new MetricRegistry());
    private final CountDownLatch drained = new CountDownLatch(1);
    private final ControlLoop<GatewayState, GatewayEvent, GatewayAction> control;
    private final Ticker ticker;
    private final XnioWorker worker;
    private final ThreadLag traffic;
    private final Admission admission;
    private final CallerFrontEnd callers;
    private final CallerListener entrance;
    private final CallerListener pages;
    private final PeerLinks peers;
    private final ActivityLog activity;
    private boolean overloaded;
    private Runnable stopTelling = () -> {};

    /**
     * Puts the gateway together.
     *
     * @param settings its settings
     * @param protocol how callers and upstreams encode what they say
     * @param clusterState where it learns of configurations and upstreams
     * @param clock a clock that does not jump
     */
    public GatewayDaemon(
            GatewaySettings settings, CallerProtocol protocol, ClusterStateSource clusterState, Clock clock) {
        this.settings = settings;
        this.clusterState = clusterState;
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        this.worker = worker();
        this.traffic = new ThreadLag(worker.getIoThread(), clock);
        this.admission = new LagAdmission(
                this::behind,
                new Crowd(clock),
                settings.limits().maxQueueingShare(),
                Descriptors.mostCallersConnections());
        AccountActivity accounts = new AccountActivity();
        CallLog recorder = new CallLog(metrics, log, accounts);
        this.callers = new CallerFrontEnd(protocol, this::state, this::post, recorder, admission, clock, buffers);
        this.activity = new ActivityLog(accounts, this::state, this::behind, callers::connections, clock, log);
        this.peers = new PeerLinks(settings, new Incarnation(clock.millis()), this::post, metrics, log);
        GateActions actions = new GateActions(callers, peers::tell, drained::countDown, recorder, metrics, log);
        this.control = new ControlLoop<>(
                "control",
                new GatewayCore(settings.limits()),
                GatewayState.start(settings.quotaWindow()),
                actions,
                clock,
                metrics,
                log);
        this.ticker = new Ticker(TICK, this::busy, this::tick, log);
        metrics.gauge("traffic-lag-ms", () -> traffic.lag().toMillis());
        this.entrance = new CallerListener(settings.callers(), worker, buffers, callers, metrics, log);
        this.pages = new CallerListener(settings.readiness(), worker, buffers, this::page, metrics, log);
    }

    private static XnioWorker worker() {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, 1)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException failure) {
            throw new ServiceFailure("input and output threads", failure);
        }
    }

    private void page(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/metrics")) {
            JsonResponses.send(exchange, metrics.json());
            return;
        }
        exchange.setStatusCode(ready() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    /** A gateway that does not keep up is better left to the callers that it has, whatever its state says. */
    private boolean ready() {
        return state().ready() && admission.keepsUp();
    }

    private void tick() {
        traffic.probe();
        activity.note();
        noteOverload(!admission.keepsUp());
        post(new GatewayEvent.Ticked());
    }

    private void noteOverload(boolean overloaded) {
        if (overloaded != this.overloaded) {
            this.overloaded = overloaded;
            entrance.accept(!overloaded);
            log.warn(
                    overloaded ? "overloaded" : "keeps-up",
                    LogField.of("control-lag-ms", control.lag().toMillis()),
                    LogField.of("traffic-lag-ms", traffic.lag().toMillis()));
        }
    }

    /** How far this process is behind its callers: the longer of its threads' lags. */
    private Duration behind() {
        return Collections.max(List.of(control.lag(), traffic.lag()));
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
        stopTelling = clusterState.watch(this::post, peers);
        pages.start();
        entrance.start();
        log.info("started", LogField.of("node", settings.node()), LogField.of("callers", settings.callers()));
    }

    /**
     * Stops gracefully: says at once that it is not ready, turns new connections away once the platform has had time to
     * notice, closes each that is open as it falls idle, because an answer that had begun before could not tell its caller
     * to leave, and ends when nothing runs, at most as long as the grace lasts.
     */
    @Override
    public void stop() {
        log.info("stopping", LogField.of("node", settings.node()));
        post(new GatewayEvent.StopRequested());
        boolean early = awaitDrained(ACCEPTING_WHILE_STOPPING);
        entrance.stopAccepting();
        callers.closeWhenIdle();
        if (!early) {
            awaitDrained(settings.limits().maxDrainTime().minus(ACCEPTING_WHILE_STOPPING));
        }
        stopTelling.run();
        entrance.stop();
        pages.stop();
        ticker.stop();
        peers.stop();
        control.stop();
        worker.shutdownNow();
        log.info("stopped", LogField.of("node", settings.node()));
    }

    private boolean awaitDrained(Duration patience) {
        try {
            return drained.await(patience.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException impatient) {
            Thread.currentThread().interrupt();
            return true;
        }
    }
}
