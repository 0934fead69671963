package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;

import io.undertow.client.ClientRequest;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.gate.GatewayAction;
import org.sassafrastrail.gate.GatewayEvent;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.http.Problem;

/**
 * The exchange with a caller: runs the attempts for its request one after another and forwards the response. All but the
 * constructor, {@link #description} and {@link #runOnIoThread} is confined to the I/O thread of the caller's connection.
 */
final class CallerExchange implements AttemptListener {

    /** Responses up to this size are buffered, so that a truncated one can still be replaced by that of another attempt. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

    /** Failure responses over this size are not stored. */
    private static final int MAX_STORED_FAILURE_BYTES = 1024 * 1024;

    private static final String RESPONSE_MEMORY_FULL = "no memory left for buffered responses";

    private static final byte[] NO_BYTES = {};

    private final HttpServerExchange exchange;
    private final long callNumber;
    private final CallDescription description;
    private final byte[] body;
    private final CallerProtocol protocol;
    private final UpstreamConnectionPool connectionPool;
    private final Consumer<GatewayEvent> events;
    private final CallRecorder recorder;
    private final BufferBudget responseBuffers;
    private final Clock clock;
    private final Optional<EventStreamSplitter> splitter;
    private final CallerResponse response;

    private UpstreamAttempt attempt;
    private int attemptNumber;
    private Instant expiresAt = Instant.MAX;
    private Upstream upstream;
    private UpstreamResponseHead responseHead;
    private boolean startReported;
    private Optional<ByteArrayOutputStream> buffered = Optional.empty();
    private Optional<BufferedResponse> storedFailure = Optional.empty();
    private ExchangeOutcome outcome = ExchangeOutcome.ANSWERED;
    private Runnable disconnectCheck = () -> {};
    private Optional<Duration> timeToFirstByte = Optional.empty();
    private long reservedBytes;
    private boolean finished;

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
        this.connectionPool = upstreams.connectionPool();
        this.events = events;
        this.recorder = recorder;
        this.responseBuffers = upstreams.responseBuffers();
        this.clock = clock;
        this.splitter = description.route().streaming() ? Optional.of(new EventStreamSplitter()) : Optional.empty();
        this.response = new CallerResponse(exchange, () -> attempt.resume(), this::callerDisconnected);
    }

    /** A complete response of an upstream. */
    private record BufferedResponse(UpstreamResponseHead head, byte[] body) {}

    /** Sets the check for a disconnected caller, which is run before each request to an upstream. */
    void setDisconnectCheck(Runnable check) {
        disconnectCheck = check;
    }

    CallDescription description() {
        return description;
    }

    long bodyBytes() {
        return body.length;
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

    /** Runs a task on the I/O thread of the caller's connection. */
    void runOnIoThread(Runnable work) {
        exchange.getIoThread().execute(work);
    }

    /** Ends the exchange: nothing more is written to the caller, and its buffers are released. */
    void finish() {
        response.close();
        finished = true;
        reserve(0);
    }

    /** Reserves memory for the given number of buffered bytes in place of that reserved before. */
    private boolean reserve(long bytes) {
        long wanted = finished ? 0 : bytes;
        if (wanted > reservedBytes && !responseBuffers.reserve(wanted - reservedBytes)) {
            return false;
        }
        if (wanted < reservedBytes) {
            responseBuffers.release(reservedBytes - wanted);
        }
        reservedBytes = wanted;
        return true;
    }

    private int storedFailureBytes() {
        return storedFailure.map(stored -> stored.body().length).orElse(0);
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
        buffered = Optional.empty();
        attempt = new UpstreamAttempt(
                upstream, description.request(), this::upstreamRequest, body, protocol, connectionPool, this);
        attempt.start();
    }

    /** Builds the request when it can be sent to the upstream. Empty if the caller disconnected or the deadline has passed. */
    private Optional<ClientRequest> upstreamRequest() {
        disconnectCheck.run();
        if (response.isClosed()) {
            return Optional.empty();
        }
        Duration timeLeft = Duration.between(clock.instant(), expiresAt);
        if (timeLeft.isNegative() || timeLeft.isZero()) {
            return Optional.empty();
        }
        Optional<String> lastEventId =
                response.hasStarted() ? splitter.flatMap(EventStreamSplitter::lastIdentifier) : Optional.empty();
        ClientRequest request =
                new ClientRequest().setMethod(exchange.getRequestMethod()).setPath(requestTarget());
        protocol.upstreamRequestHeaders(exchange.getRequestHeaders(), description, upstream, timeLeft, lastEventId)
                .forEach(header -> request.getRequestHeaders().addAll(header.getHeaderName(), header));
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        return Optional.of(request);
    }

    private String requestTarget() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
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
    public void responseStarted(UpstreamResponseHead started) {
        responseHead = started;
        boolean small = started.length().isPresent() && started.length().getAsLong() <= MAX_BUFFERED_RESPONSE_BYTES;
        boolean failed = started.kind() == ResponseKind.FAILED;
        boolean bufferable =
                !description.route().streaming() && (small || started.length().isEmpty());
        if (!response.hasStarted() && (failed || bufferable)) {
            buffered = Optional.of(new ByteArrayOutputStream());
        }
        if (buffered.isPresent() || eventSplitter().isEmpty()) {
            reportStart();
        }
    }

    /** Returns the splitter if the body is a stream of events. */
    private Optional<EventStreamSplitter> eventSplitter() {
        return splitter.filter(present -> responseHead.eventStream());
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
        if (buffered.isPresent()) {
            return buffer(part, buffered.get());
        }
        ByteBuffer ready = eventSplitter()
                .map(present -> ByteBuffer.wrap(present.completeEvents(part)))
                .orElse(part);
        if (eventSplitter().filter(EventStreamSplitter::isOverLimit).isPresent()) {
            attempt.fail("event not terminated within the size limit");
            return false;
        }
        if (!reserve(storedFailureBytes()
                + splitter.map(EventStreamSplitter::partialBytes).orElse(0))) {
            attempt.fail(RESPONSE_MEMORY_FULL);
            return false;
        }
        if (ready.hasRemaining()) {
            reportStart();
        }
        return response.write(responseHead, ready);
    }

    /** Buffers a part of the body. A response that is too large to buffer is streamed to the caller from then on. */
    private boolean buffer(ByteBuffer part, ByteArrayOutputStream soFar) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        soFar.writeBytes(bytes);
        if (!reserve(storedFailureBytes() + soFar.size())) {
            attempt.fail(RESPONSE_MEMORY_FULL);
            return false;
        }
        boolean failed = responseHead.kind() == ResponseKind.FAILED;
        if (soFar.size() <= (failed ? MAX_STORED_FAILURE_BYTES : MAX_BUFFERED_RESPONSE_BYTES)) {
            return true;
        }
        if (failed) {
            attempt.fail("failure over " + MAX_STORED_FAILURE_BYTES + " bytes");
            return false;
        }
        buffered = Optional.empty();
        return response.write(responseHead, ByteBuffer.wrap(soFar.toByteArray()));
    }

    @Override
    public void bodyPaused() {
        response.flush();
    }

    @Override
    public void attemptEnded(AttemptResult result, String cause) {
        if (!(result instanceof AttemptResult.Delivered)) {
            failed(result, cause);
        } else if (buffered.isPresent()) {
            bufferedResponseReceived(
                    new BufferedResponse(responseHead, buffered.get().toByteArray()));
        } else if (isCutOff()) {
            failed(new AttemptResult.Broken(), "the stream ends before an event ends");
        } else {
            response.end(
                    responseHead,
                    eventSplitter().map(EventStreamSplitter::remainder).orElse(NO_BYTES));
            reportEnd(result, cause);
        }
    }

    /**
     * Returns whether a stream of events has ended without its end: inside an event, or before the first one if only the
     * end of the connection shows the end of the body.
     */
    private boolean isCutOff() {
        return eventSplitter()
                .filter(present -> present.isInsideEvent() || !startReported && !responseHead.framed())
                .isPresent();
    }

    private void failed(AttemptResult result, String cause) {
        boolean unseen = result instanceof AttemptResult.Broken && !response.hasStarted();
        reportEnd(unseen ? new AttemptResult.Lost() : result, cause);
    }

    private void bufferedResponseReceived(BufferedResponse bufferedResponse) {
        if (responseHead.kind() == ResponseKind.FAILED) {
            storedFailure = Optional.of(bufferedResponse);
            reportEnd(new AttemptResult.Failed(), "status " + responseHead.status());
        } else {
            deliver(bufferedResponse);
            reportEnd(new AttemptResult.Delivered(), "");
        }
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

    private void deliver(BufferedResponse bufferedResponse) {
        response.end(bufferedResponse.head(), bufferedResponse.body());
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

    /** Ends a response that has been started before it is complete. */
    void abort() {
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
