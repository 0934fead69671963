package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.http.Problem;
import org.sassafrastrail.http.ResponseFraming;

/**
 * The exchange with a caller: runs the attempts for its request one after another and forwards the response. All but the
 * constructor, {@link #description} and {@link #runOnIoThread} is confined to the I/O thread of the caller's connection.
 */
final class CallerExchange implements AttemptListener {

    private final HttpServerExchange exchange;
    private final long callNumber;
    private final CallDescription description;
    private final byte[] body;
    private final CallerProtocol protocol;
    private final UpstreamRequestBuilder requests;
    private final UpstreamConnectionPool connectionPool;
    private final Consumer<GatewayEvent> events;
    private final CallRecorder recorder;
    private final ResponseMemory memory;
    private final UnavailableUpstreams unavailable;
    private final Predicate<Upstream> limited;
    private final Clock clock;
    private final Optional<EventStreamSplitter> splitter;
    private final CallerResponse response;

    private UpstreamAttempt attempt;
    private int attemptNumber;
    private Instant expiresAt = Instant.MAX;
    private Upstream upstream;
    private UpstreamResponseHead responseHead;
    private ResponseBody responseBody;
    private boolean startReported;
    private Optional<FailureBody.StoredFailure> storedFailure = Optional.empty();
    private ExchangeOutcome outcome = ExchangeOutcome.ANSWERED;
    private Runnable disconnectCheck = () -> {};
    private Optional<Duration> timeToFirstByte = Optional.empty();

    CallerExchange(
            HttpServerExchange exchange,
            CallerRequest request,
            CallerProtocol protocol,
            UpstreamResources upstreams,
            Consumer<GatewayEvent> events,
            CallRecorder recorder,
            Clock clock) {
        this.exchange = exchange;
        this.callNumber = request.number();
        this.description = request.description();
        this.body = request.body();
        this.protocol = protocol;
        this.requests = new UpstreamRequestBuilder(exchange, request, protocol);
        this.connectionPool = upstreams.connectionPool();
        this.events = events;
        this.recorder = recorder;
        this.memory = new ResponseMemory(upstreams.responseBuffers());
        this.unavailable = upstreams.unavailable();
        this.limited = upstreams.limited();
        this.clock = clock;
        this.splitter = splitter(exchange, description, protocol);
        this.response = new CallerResponse(exchange, () -> attempt.resume(), this::callerDisconnected);
    }

    /** Returns a splitter if responses are streams of events. A response to HEAD has none. */
    private static Optional<EventStreamSplitter> splitter(
            HttpServerExchange exchange, CallDescription description, CallerProtocol protocol) {
        if (!description.route().streaming() || exchange.getRequestMethod().equals(Methods.HEAD)) {
            return Optional.empty();
        }
        Optional<String> resumedAfter = description.route().resumable()
                ? protocol.readLastEventId(exchange.getRequestHeaders())
                : Optional.empty();
        return Optional.of(new EventStreamSplitter(resumedAfter));
    }

    /** Sets the check for a disconnected caller, which is run before each request to an upstream. */
    void setDisconnectCheck(Runnable check) {
        disconnectCheck = check;
    }

    CallDescription description() {
        return description;
    }

    /** Returns the time from the arrival of the request to the first response head of an upstream, empty if none came. */
    Optional<Duration> timeToFirstByte() {
        return timeToFirstByte;
    }

    ExchangeOutcome outcome() {
        return outcome;
    }

    int status() {
        return exchange.getStatusCode();
    }

    ResponseFraming.BodyEnd bodyEnd() {
        return ResponseFraming.bodyEnd(exchange.getResponseHeaders());
    }

    /** Returns how the body of the last upstream's response gets to the caller, empty if none has begun. */
    Optional<BodyForm> bodyForm() {
        return Optional.ofNullable(responseBody).map(ResponseBody::form);
    }

    /** Returns the identifier of the last event that the caller has, empty if it has none. */
    Optional<String> lastEvent() {
        return splitter.flatMap(EventStreamSplitter::lastIdentifier);
    }

    /** Returns whether the connection closes after the response. */
    boolean isClosing() {
        return !exchange.isPersistent();
    }

    /** Runs a task on the I/O thread of the caller's connection. */
    void runOnIoThread(Runnable work) {
        exchange.getIoThread().execute(work);
    }

    /** Ends the exchange: nothing more is written to the caller, and its buffers are released. */
    void finish() {
        response.close();
        memory.close();
    }

    void dispatch(GatewayAction.Dispatch dispatch) {
        if (response.isClosed()) {
            return;
        }
        attemptNumber = dispatch.attempt();
        expiresAt = dispatch.expiresAt();
        upstream = dispatch.upstream();
        responseHead = null;
        startReported = false;
        splitter.ifPresent(EventStreamSplitter::discardPartial);
        attempt = new UpstreamAttempt(
                upstream, description.request(), this::upstreamRequest, body, protocol, connectionPool, this);
        attempt.start();
    }

    /** Builds the request when it can be sent to the upstream, unless something has come up since it was dispatched. */
    private AttemptRequest upstreamRequest() {
        disconnectCheck.run();
        if (response.isClosed()) {
            return new AttemptRequest.NotWanted("the caller disconnected before the request was sent");
        }
        if (unavailable.contains(upstream)) {
            return new AttemptRequest.NotWanted("the upstream asked for no more requests before this one was sent");
        }
        Duration timeLeft = Duration.between(clock.instant(), expiresAt);
        if (timeLeft.isNegative() || timeLeft.isZero()) {
            return new AttemptRequest.NotWanted("the deadline passed before the request was sent");
        }
        Optional<String> lastEventId =
                response.hasStarted() ? splitter.flatMap(EventStreamSplitter::lastIdentifier) : Optional.empty();
        return new AttemptRequest.Ready(requests.build(upstream, timeLeft, lastEventId));
    }

    void cancelAttempt(int cancelled) {
        if (attempt != null && attemptNumber == cancelled) {
            attempt.cancel();
        }
    }

    @Override
    public boolean hasResponseStarted() {
        return response.hasStarted();
    }

    @Override
    public void noticeReceived(UpstreamNotice notice) {
        if (notice.draining()) {
            unavailable.addDraining(upstream);
            events.accept(new GatewayEvent.DrainNoticeReceived(upstream));
        }
        notice.pause().ifPresent(pause -> {
            unavailable.addPaused(upstream, pause);
            events.accept(new GatewayEvent.PauseRequested(upstream, pause));
        });
        if (notice.pauseInvalid()) {
            recorder.pauseIgnored(upstream);
        }
    }

    /** A response without a limit matters only from an upstream that had one. */
    @Override
    public void rateLimitReceived(RateLimitNotice notice) {
        if (notice.invalid()) {
            recorder.rateLimitIgnored(upstream);
        } else if (notice.requestsPerSecond().isPresent() || limited.test(upstream)) {
            events.accept(
                    new GatewayEvent.RateLimitHeard(callNumber, attemptNumber, upstream, notice.requestsPerSecond()));
        }
    }

    /** The route says whether the body is a stream of events: what a faulty upstream says of its type proves nothing. */
    @Override
    public void responseStarted(UpstreamResponseHead started) {
        responseHead = started;
        if (splitter.isPresent() && started.has2xxStatus()) {
            responseBody =
                    new EventStreamBody(started.withoutLength(), response, splitter.get(), memory, this::reportStart);
        } else {
            responseBody = wholeBody(started);
            reportStart();
        }
    }

    /** Returns whether a failure can be stored, because the caller has received nothing yet. */
    private boolean isStorable(UpstreamResponseHead head) {
        return head.kind() == ResponseKind.FAILED && !response.hasStarted();
    }

    private ResponseBody wholeBody(UpstreamResponseHead head) {
        if (isStorable(head)) {
            return new FailureBody(head, memory, failure -> storedFailure = Optional.of(failure));
        }
        boolean bufferable = !description.route().streaming()
                && head.length().orElse(0) <= BufferedBody.MAX_BYTES
                && !response.hasStarted();
        return bufferable ? new BufferedBody(head, response, memory) : new StreamedBody(head, response);
    }

    /** Reports that the upstream has started to respond. An upstream may send the head of a stream and then fail. */
    private void reportStart() {
        if (startReported) {
            return;
        }
        startReported = true;
        if (timeToFirstByte.isEmpty()) {
            timeToFirstByte = Optional.of(Duration.between(description.arrivedAt(), clock.instant()));
            recorder.stepReached(
                    description.account(),
                    AccountActivity.Step.BEGAN,
                    description.prompt().cost());
        }
        events.accept(new GatewayEvent.ResponseStarted(
                callNumber, attemptNumber, responseHead.isSuccessful(), responseHead.load()));
    }

    @Override
    public boolean bodyReceived(ByteBuffer part) {
        try {
            return responseBody.receive(part);
        } catch (UnusableResponseException unusable) {
            attempt.fail(unusable.getMessage());
            return false;
        }
    }

    @Override
    public void bodyPaused() {
        response.flush();
    }

    @Override
    public void attemptEnded(AttemptResult result, String cause) {
        ResponseBody.End end =
                result instanceof AttemptResult.Delivered ? responseBody.end() : new ResponseBody.End(result, cause);
        boolean unseen = end.result() instanceof AttemptResult.Broken && !response.hasStarted();
        reportEnd(unseen ? new AttemptResult.Lost() : end.result(), end.cause());
    }

    private void reportEnd(AttemptResult result, String cause) {
        recorder.attemptEnded(description, attemptNumber, upstream, result, cause);
        events.accept(new GatewayEvent.AttemptEnded(callNumber, attemptNumber, result));
    }

    /** Sends the stored failure response to the caller, unless another response has been started. */
    void deliverStoredFailure() {
        if (response.hasStarted()) {
            failWithUnknownOutcome(false);
        } else {
            storedFailure.ifPresentOrElse(this::deliver, () -> failWithUnknownOutcome(false));
        }
    }

    private void deliver(FailureBody.StoredFailure failure) {
        response.end(failure.head(), failure.body());
    }

    void refuse(Problem problem, Duration retryAfter) {
        if (response.isClosed()) {
            return;
        }
        if (exchange.isResponseStarted()) {
            abort();
        } else {
            problem.send(exchange, retryAfter);
        }
    }

    /** Responds that the outcome of the request is unknown, or aborts a response that has been started. */
    void failWithUnknownOutcome(boolean timedOut) {
        if (response.isClosed()) {
            return;
        }
        if (exchange.isResponseStarted()) {
            abort();
            return;
        }
        int status = timedOut ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
        String type = timedOut ? "outcome-unknown:timeout" : "outcome-unknown:upstream-connection-lost";
        new Problem(status, type, "The request may have run; nobody can tell.", "").send(exchange);
    }

    /**
     * Ends the exchange early, in a way that the caller does not take for the end of a complete response. Does nothing after
     * its end, because the caller's connection may carry its next request by then.
     */
    void abort() {
        if (response.isClosed()) {
            return;
        }
        outcome = ExchangeOutcome.BROKEN_OFF;
        response.abort();
    }

    /** The caller closed its connection, or writing to it failed. The running attempt is cancelled. */
    void callerDisconnected() {
        if (!response.isClosed()) {
            response.close();
            if (outcome == ExchangeOutcome.ANSWERED) {
                outcome = ExchangeOutcome.CALLER_LEFT;
            }
            if (attempt != null) {
                attempt.cancel();
            }
            events.accept(new GatewayEvent.CallerDisconnected(callNumber));
            response.abort();
        }
    }
}
