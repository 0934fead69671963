package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.GatewayConfiguration;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.GatewayState;
import org.sassafrastrail.gate.Route;
import org.sassafrastrail.http.RequestFraming;
import org.sassafrastrail.http.ResponseFraming;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RefusalReason;
import org.xnio.XnioIoThread;

/** Handles callers' requests: finds route and account, reads the body, and passes the request to the control thread. */
final class CallerFrontEnd implements HttpHandler {

    /** The total size of request bodies held at once; more would not fit into the memory of the process. */
    private static final long MAX_BUFFERED_BODY_BYTES = 24L * 1024 * 1024;

    /** The part of it that large bodies may take. */
    private static final long MAX_LARGE_BODY_BYTES = 18L * 1024 * 1024;

    /** The total size of what is buffered of upstreams' responses at once. */
    private static final long MAX_BUFFERED_RESPONSE_BYTES = 12L * 1024 * 1024;

    private static final Duration RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(1);

    private final CallerProtocol protocol;
    private final Supplier<GatewayState> state;
    private final Consumer<GatewayEvent> events;
    private final CallRecorder recorder;
    private final AdmissionPolicy admission;
    private final Clock clock;
    private final ByteBufferPool buffers;
    private final AtomicLong callNumbers = new AtomicLong();
    private final BufferBudget bodies = new BufferBudget(MAX_BUFFERED_BODY_BYTES);
    private final BufferBudget largeBodies = new BufferBudget(MAX_LARGE_BODY_BYTES);
    private final BufferBudget responseBuffers = new BufferBudget(MAX_BUFFERED_RESPONSE_BYTES);
    private final Map<Long, CallerExchange> calls = new ConcurrentHashMap<>();
    private final OpenConnections openConnections;
    private final Map<XnioIoThread, UpstreamResources> upstreamResources = new ConcurrentHashMap<>();

    CallerFrontEnd(
            CallerProtocol protocol,
            Supplier<GatewayState> state,
            Consumer<GatewayEvent> events,
            CallRecorder recorder,
            AdmissionPolicy admission,
            Clock clock,
            ByteBufferPool buffers) {
        this.protocol = protocol;
        this.state = state;
        this.events = events;
        this.recorder = recorder;
        this.admission = admission;
        this.clock = clock;
        this.buffers = buffers;
        this.openConnections = new OpenConnections(
                admission.maxConnections(), recorder::connectionClosedOverLimit, this::callerDisconnected);
    }

    Optional<CallerExchange> call(long number) {
        return Optional.ofNullable(calls.get(number));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long number = callNumbers.incrementAndGet();
        openConnections.requestStarted(exchange, number);
        exchange.addResponseCommitListener(this::disableKeepAliveIfNeeded);
        CallerRequestHead head = protocol.readRequestHead(exchange.getRequestHeaders());
        String request = head.requestIdentifier().orElse("");
        if (!RequestFraming.of(exchange).orElseThrow().requestStarted()) {
            refuseMalformed(exchange, request, Optional.empty());
            return;
        }
        GatewayState current = state.get();
        if (current.configuration().isEmpty()) {
            refuse(
                    exchange,
                    request,
                    Optional.empty(),
                    StatusCodes.SERVICE_UNAVAILABLE,
                    RefusalReason.NO_CONFIGURATION);
            return;
        }
        GatewayConfiguration configuration = current.configuration().get();
        Optional<Route> route = configuration.route(head.host(), exchange.getRequestPath());
        if (route.isEmpty()) {
            refuse(exchange, request, Optional.empty(), StatusCodes.NOT_FOUND, RefusalReason.UNKNOWN_TARGET);
            return;
        }
        Optional<AccountName> account = head.key().flatMap(configuration::accountForKey);
        recorder.stepReached(account, AccountActivity.Step.ASKED, head.prompt().cost());
        if (configuration.keysRequired() && !route.get().anonymous() && account.isEmpty()) {
            refuse(exchange, request, account, StatusCodes.UNAUTHORIZED, RefusalReason.UNKNOWN_ACCOUNT);
        } else if (head.requestIdentifier().isEmpty()) {
            refuse(exchange, request, account, StatusCodes.BAD_REQUEST, RefusalReason.MALFORMED_REQUEST);
        } else if (exchange.getRequestContentLength() > configuration.maxBodyBytes()) {
            refuse(exchange, request, account, StatusCodes.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE);
        } else if (!admission.admits(route.get().latencyTarget(), sender(account, route.get()))) {
            recorder.stepReached(
                    account,
                    AccountActivity.Step.REFUSED_AT_THE_DOOR,
                    head.prompt().cost());
            refuse(exchange, request, account, StatusCodes.SERVICE_UNAVAILABLE, RefusalReason.ROUTER_OVERLOADED);
        } else {
            CallDescription description = describe(head, route.get(), account);
            readBody(exchange, number, description, configuration.maxBodyBytes());
        }
    }

    /** Announces in the response head that the connection closes, if this process stops or refuses callers under overload. */
    private void disableKeepAliveIfNeeded(HttpServerExchange exchange) {
        boolean refused = exchange.getStatusCode() == StatusCodes.SERVICE_UNAVAILABLE;
        if (state.get().stoppingSince().isPresent() || refused && !admission.isCaughtUp()) {
            exchange.setPersistent(false);
        }
    }

    private static String sender(Optional<AccountName> account, Route route) {
        return account.map(AccountName::value).orElse(route.name());
    }

    private CallDescription describe(CallerRequestHead head, Route route, Optional<AccountName> account) {
        Instant now = clock.instant();
        Duration timeout = head.timeout().orElse(DEFAULT_TIMEOUT);
        return new CallDescription(
                head.requestIdentifier().orElseThrow(), route, account, head.prompt(), now, now.plus(timeout));
    }

    private void readBody(HttpServerExchange exchange, long number, CallDescription description, long maxBodyBytes) {
        exchange.setMaxEntitySize(maxBodyBytes);
        RequestMemory memory = new RequestMemory(bodies, largeBodies);
        exchange.addExchangeCompleteListener((done, next) -> {
            memory.close();
            next.proceed();
        });
        BodyListener listener = new BodyListener(exchange, number, description);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> new RequestBodyReader(exchange, memory, listener).start());
    }

    /** Goes on with a request, or refuses it, once its body has been read or cannot be. */
    private final class BodyListener implements RequestBodyReader.Listener {

        private final HttpServerExchange exchange;
        private final long number;
        private final CallDescription description;

        BodyListener(HttpServerExchange exchange, long number, CallDescription description) {
            this.exchange = exchange;
            this.number = number;
            this.description = description;
        }

        @Override
        public void bodyRead(byte[] body) {
            requestRead(exchange, number, description, body);
        }

        @Override
        public void bodyTooLarge() {
            refuseRead(StatusCodes.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE);
        }

        @Override
        public void bodyMalformed() {
            refuseMalformed(exchange, description.request(), description.account());
        }

        @Override
        public void memoryFull() {
            refuseRead(StatusCodes.SERVICE_UNAVAILABLE, RefusalReason.REQUEST_MEMORY_FULL);
        }

        @Override
        public void connectionLost() {
            ResponseFraming.abort(exchange);
        }

        private void refuseRead(int status, RefusalReason reason) {
            refuse(exchange, description.request(), description.account(), status, reason);
        }
    }

    private void requestRead(HttpServerExchange exchange, long number, CallDescription description, byte[] body) {
        UpstreamResources upstreams =
                upstreamResources.computeIfAbsent(exchange.getIoThread(), this::createUpstreamResources);
        CallerRequest request = new CallerRequest(number, description, body);
        CallerExchange call = new CallerExchange(exchange, request, protocol, upstreams, events, recorder, clock);
        calls.put(number, call);
        exchange.addExchangeCompleteListener((done, next) -> {
            finish(number);
            next.proceed();
        });
        call.setDisconnectCheck(CallerDisconnectDetector.watch(exchange, () -> callerDisconnected(number)));
        events.accept(new GatewayEvent.CallArrived(number, description));
    }

    private UpstreamResources createUpstreamResources(XnioIoThread thread) {
        return new UpstreamResources(
                new UpstreamConnectionPool(thread, buffers),
                responseBuffers,
                new UnavailableUpstreams(clock),
                upstream -> state.get().isLimited(upstream.incarnation()));
    }

    int connectionCount() {
        return openConnections.count();
    }

    /** Closes each connection as soon as it has no request in flight. */
    void closeWhenIdle() {
        openConnections.closeWhenIdle();
    }

    /** Waits until no request is in flight, because its response has been written, or until the timeout has passed. */
    void awaitFinished(Duration timeout) {
        long deadline = System.nanoTime() + timeout.toNanos();
        synchronized (calls) {
            long remaining = timeout.toNanos();
            while (!calls.isEmpty() && remaining > 0) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(calls, remaining);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    return;
                }
                remaining = deadline - System.nanoTime();
            }
        }
    }

    /** Aborts the requests in flight, at the end of a shutdown. */
    void abortUnfinished() {
        calls.values().forEach(call -> call.runOnIoThread(call::abort));
    }

    private CallerExchange removeCall(long number) {
        synchronized (calls) {
            CallerExchange removed = calls.remove(number);
            calls.notifyAll();
            return removed;
        }
    }

    private void finish(long number) {
        CallerExchange call = removeCall(number);
        if (call != null) {
            call.finish();
            Duration duration = Duration.between(call.description().arrivedAt(), clock.instant());
            recorder.finished(new FinishedCall(
                    call.description(),
                    call.status(),
                    call.outcome(),
                    call.bodyEnd(),
                    call.isClosing(),
                    call.bodyForm(),
                    call.lastEvent(),
                    call.timeToFirstByte(),
                    duration));
        }
    }

    private void callerDisconnected(long number) {
        if (calls.containsKey(number)) {
            calls.get(number).callerDisconnected();
            finish(number);
        }
    }

    /** Refuses a request whose end can't be found, so that nothing more can be read from its connection. */
    private void refuseMalformed(HttpServerExchange exchange, String request, Optional<AccountName> account) {
        exchange.setPersistent(false);
        refuse(exchange, request, account, StatusCodes.BAD_REQUEST, RefusalReason.MALFORMED_REQUEST);
    }

    private void refuse(
            HttpServerExchange exchange,
            String request,
            Optional<AccountName> account,
            int status,
            RefusalReason reason) {
        String configuration = state.get()
                .configuration()
                .map(known -> Long.toString(known.version()))
                .orElse("none");
        recorder.refusedOnArrival(
                request, account, exchange.getHostName() + exchange.getRequestPath(), reason, configuration);
        GatewayProblems.refusal(status, reason, request).send(exchange, RETRY_AFTER);
    }
}
