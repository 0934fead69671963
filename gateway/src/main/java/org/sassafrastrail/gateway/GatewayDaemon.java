package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.GateAction;
import org.sassafrastrail.gate.GateCore;
import org.sassafrastrail.gate.GateEvent;
import org.sassafrastrail.gate.GateState;
import org.sassafrastrail.http.JsonPage;
import org.sassafrastrail.runtime.ControlLoop;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceFailure;
import org.sassafrastrail.runtime.Ticker;

/** The gateway as a process: callers' and readiness listeners, the control thread, and what it learns from around it. */
public final class GatewayDaemon implements Service {

    private static final Duration TICK = Duration.ofMillis(25);
    private static final int LARGEST_HEADERS_BYTES = 64 * 1024;
    private static final int LONGEST_HEADER_MILLISECONDS = 5_000;

    /** Longer than any caller keeps a connection idle, so that none is closed under a request. */
    private static final int LONGEST_IDLE_MILLISECONDS = 60_000;

    private static final int BUFFER_BYTES = 16 * 1024;

    private final GatewaySettings settings;
    private final Surroundings surroundings;
    private final EventLog log = new EventLog("org.sassafrastrail.gateway");
    private final Metrics metrics = new Metrics(new MetricRegistry());
    private final CountDownLatch drained = new CountDownLatch(1);
    private final ControlLoop<GateState, GateEvent, GateAction> control;
    private final Ticker ticker;
    private final Undertow server;
    private Runnable stopTelling = () -> {};

    /**
     * Puts the gateway together.
     *
     * @param settings its settings
     * @param protocol how callers and upstreams encode what they say
     * @param surroundings where it learns of configurations and upstreams
     * @param clock a clock that does not jump
     */
    public GatewayDaemon(GatewaySettings settings, CallerProtocol protocol, Surroundings surroundings, Clock clock) {
        this.settings = settings;
        this.surroundings = surroundings;
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        CallerFrontEnd callers = new CallerFrontEnd(protocol, this::state, this::post, this::finished, clock, buffers);
        GateActions actions = new GateActions(callers, drained::countDown, metrics, log);
        this.control = new ControlLoop<>(
                "control",
                new GateCore(settings.limits()),
                GateState.start(settings.quotaWindow()),
                actions,
                clock,
                log);
        this.ticker = new Ticker(TICK, this::busy, () -> post(new GateEvent.Ticked()), log);
        this.server = server(callers);
    }

    private Undertow server(CallerFrontEnd callers) {
        return Undertow.builder()
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setBufferSize(BUFFER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, LARGEST_HEADERS_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, LONGEST_HEADER_MILLISECONDS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, LONGEST_IDLE_MILLISECONDS)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .addListener(listener(settings.callers(), callers))
                .addListener(listener(settings.readiness(), this::page))
                .build();
    }

    private static Undertow.ListenerBuilder listener(String address, HttpHandler handler) {
        int colon = address.lastIndexOf(':');
        return new Undertow.ListenerBuilder()
                .setType(Undertow.ListenerType.HTTP)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setRootHandler(handler);
    }

    private void page(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/metrics")) {
            JsonPage.send(exchange, metrics.json());
            return;
        }
        exchange.setStatusCode(state().ready() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private GateState state() {
        return control.state();
    }

    private void post(GateEvent event) {
        control.post(event);
    }

    private boolean busy() {
        return state().hasCalls();
    }

    private void finished(FinishedCall call) {
        metrics.time("answer." + call.description().route().name(), call.took().toNanos());
        log.info(
                "answered",
                LogField.of("request", call.description().request()),
                LogField.of("route", call.description().route().name()),
                LogField.of(
                        "account",
                        call.description().account().map(Object::toString).orElse("-")),
                LogField.of("status", call.status()),
                LogField.of("ending", call.ending()),
                LogField.of("took-ms", call.took().toMillis()));
    }

    @Override
    public void start() {
        control.start();
        ticker.start();
        stopTelling = surroundings.tell(this::post);
        try {
            server.start();
        } catch (RuntimeException taken) {
            throw new ServiceFailure("gateway " + settings.callers(), taken);
        }
        log.info("started", LogField.of("node", settings.node()), LogField.of("callers", settings.callers()));
    }

    /** Stops gracefully: callers' open connections are served until nothing runs, at most as long as the grace lasts. */
    @Override
    public void stop() {
        log.info("stopping", LogField.of("node", settings.node()));
        post(new GateEvent.StopRequested());
        try {
            drained.await(settings.limits().drainAtMost().toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException impatient) {
            Thread.currentThread().interrupt();
        }
        stopTelling.run();
        server.stop();
        ticker.stop();
        control.stop();
        log.info("stopped", LogField.of("node", settings.node()));
    }
}
