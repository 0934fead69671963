package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
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
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RefusalReason;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Reads callers' requests whole, finds their route and account, and hands them to the control thread. */
final class CallerFrontEnd implements HttpHandler {

    /** Bodies that wait here at once; more would not fit into the process's memory. */
    private static final long MOST_BODY_BYTES_AT_ONCE = 24L * 1024 * 1024;

    private static final Duration COME_BACK_AFTER = Duration.ofMillis(500);
    private static final Duration LONGEST_PATIENCE = Duration.ofMinutes(1);

    private final CallerProtocol protocol;
    private final Supplier<GatewayState> state;
    private final Consumer<GatewayEvent> events;
    private final CallRecorder recorder;
    private final Admission admission;
    private final Clock clock;
    private final ByteBufferPool buffers;
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicLong bodyBytes = new AtomicLong();
    private final Map<Long, CallerExchange> calls = new ConcurrentHashMap<>();
    private final OpenConnections open;
    private final Map<XnioIoThread, UpstreamConnections> connections = new ConcurrentHashMap<>();

    CallerFrontEnd(
            CallerProtocol protocol,
            Supplier<GatewayState> state,
            Consumer<GatewayEvent> events,
            CallRecorder recorder,
            Admission admission,
            Clock clock,
            ByteBufferPool buffers) {
        this.protocol = protocol;
        this.state = state;
        this.events = events;
        this.recorder = recorder;
        this.admission = admission;
        this.clock = clock;
        this.buffers = buffers;
        this.open = new OpenConnections(admission.mostConnections(), recorder::connectionClosedOverLimit, this::left);
    }

    Optional<CallerExchange> call(long number) {
        return Optional.ofNullable(calls.get(number));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long number = numbers.incrementAndGet();
        open.carries(exchange, number);
        exchange.addResponseCommitListener(this::endConnection);
        CallerRequestHead head = protocol.readRequestHead(exchange.getRequestHeaders());
        String request = head.requestIdentifier().orElse("");
        GatewayState known = state.get();
        if (known.configuration().isEmpty()) {
            refuse(
                    exchange,
                    request,
                    Optional.empty(),
                    StatusCodes.SERVICE_UNAVAILABLE,
                    RefusalReason.NO_CONFIGURATION);
            return;
        }
        GatewayConfiguration table = known.configuration().get();
        Optional<Route> route = table.route(head.host(), exchange.getRequestPath());
        if (route.isEmpty()) {
            refuse(exchange, request, Optional.empty(), StatusCodes.NOT_FOUND, RefusalReason.UNKNOWN_TARGET);
            return;
        }
        Optional<AccountName> account = head.key().flatMap(table::accountForKey);
        recorder.reached(account, AccountActivity.Step.ASKED, head.prompt().cost());
        if (table.keysRequired() && !route.get().anonymous() && account.isEmpty()) {
            refuse(exchange, request, account, StatusCodes.UNAUTHORIZED, RefusalReason.UNKNOWN_ACCOUNT);
        } else if (head.requestIdentifier().isEmpty()) {
            refuse(exchange, request, account, StatusCodes.BAD_REQUEST, RefusalReason.MALFORMED_REQUEST);
        } else if (exchange.getRequestContentLength() > table.maxBodyBytes()) {
            refuse(exchange, request, account, StatusCodes.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE);
        } else if (bodyBytes.get() > MOST_BODY_BYTES_AT_ONCE) {
            refuse(exchange, request, account, StatusCodes.SERVICE_UNAVAILABLE, RefusalReason.ACCOUNT_QUEUE_FULL);
        } else if (!admission.admits(route.get().latencyTarget(), sender(account, route.get()))) {
            recorder.reached(
                    account,
                    AccountActivity.Step.REFUSED_AT_THE_DOOR,
                    head.prompt().cost());
            refuse(exchange, request, account, StatusCodes.SERVICE_UNAVAILABLE, RefusalReason.ROUTER_OVERLOADED);
        } else {
            CallDescription description = describe(head, route.get(), account);
            readBody(exchange, number, description, table.maxBodyBytes());
        }
    }

    /** Tells the caller with its answer's head that the connection takes no other request, if it had better go elsewhere. */
    private void endConnection(HttpServerExchange exchange) {
        boolean refused = exchange.getStatusCode() == StatusCodes.SERVICE_UNAVAILABLE;
        if (state.get().stoppingSince().isPresent() || refused && !admission.keepsUp()) {
            exchange.setPersistent(false);
        }
    }

    private static String sender(Optional<AccountName> account, Route route) {
        return account.map(AccountName::value).orElse(route.name());
    }

    private CallDescription describe(CallerRequestHead head, Route route, Optional<AccountName> account) {
        Instant now = clock.instant();
        Duration patience = head.timeout().orElse(LONGEST_PATIENCE);
        return new CallDescription(
                head.requestIdentifier().orElseThrow(), route, account, head.prompt(), now, now.plus(patience));
    }

    private void readBody(HttpServerExchange exchange, long number, CallDescription description, long largest) {
        exchange.setMaxEntitySize(largest);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> read.dispatch(
                                SameThreadExecutor.INSTANCE, () -> arrived(read, number, description, body)),
                        (read, failure) -> {
                            if (read.isResponseStarted()) {
                                IoUtils.safeClose(read.getConnection());
                            } else {
                                refuse(
                                        read,
                                        description.request(),
                                        description.account(),
                                        StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                                        RefusalReason.BODY_TOO_LARGE);
                            }
                        });
    }

    private void arrived(HttpServerExchange exchange, long number, CallDescription description, byte[] body) {
        UpstreamConnections pool =
                connections.computeIfAbsent(exchange.getIoThread(), thread -> new UpstreamConnections(thread, buffers));
        CallerRequest request = new CallerRequest(number, description, body);
        CallerExchange call = new CallerExchange(exchange, request, protocol, pool, events, recorder, clock);
        calls.put(number, call);
        bodyBytes.addAndGet(body.length);
        exchange.addExchangeCompleteListener((done, next) -> {
            end(number);
            next.proceed();
        });
        call.watchFor(LeaveWatch.watch(exchange, () -> left(number)));
        events.accept(new GatewayEvent.CallArrived(number, description));
    }

    int connections() {
        return open.count();
    }

    /** Closes each connection as soon as it carries no request. */
    void closeWhenIdle() {
        open.closeWhenIdle();
    }

    private void end(long number) {
        CallerExchange call = calls.remove(number);
        if (call != null) {
            call.closed();
            bodyBytes.addAndGet(-call.bodyBytes());
            Duration took = Duration.between(call.description().arrivedAt(), clock.instant());
            recorder.finished(
                    new FinishedCall(call.description(), call.status(), call.ending(), call.firstAfter(), took));
        }
    }

    private void left(long number) {
        if (calls.containsKey(number)) {
            calls.get(number).callerLeft();
            end(number);
        }
    }

    private void refuse(
            HttpServerExchange exchange,
            String request,
            Optional<AccountName> account,
            int status,
            RefusalReason reason) {
        String configuration = state.get()
                .configuration()
                .map(table -> Long.toString(table.version()))
                .orElse("none");
        recorder.refusedAtTheDoor(
                request, account, exchange.getHostName() + exchange.getRequestPath(), reason, configuration);
        Problems.refused(status, reason, request).send(exchange, COME_BACK_AFTER);
    }
}
