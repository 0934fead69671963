package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.time.Duration;
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
import org.xnio.IoUtils;

/**
 * A caller's request on its way: its attempts one after the other, and the answer as far as the caller has it. All but the
 * constructor runs on the input and output thread of the caller's connection.
 */
final class CallerExchange implements AttemptListener {

    /** Answers up to this size are gathered, so that one that breaks off can still be replaced. */
    private static final int LARGEST_GATHERED_BYTES = 64 * 1024;

    /** An upstream's failure over this size is not kept. */
    private static final int LARGEST_KEPT_FAILURE_BYTES = 1024 * 1024;

    private static final byte[] NOTHING = {};

    private final HttpServerExchange exchange;
    private final long number;
    private final CallDescription description;
    private final byte[] body;
    private final CallerProtocol protocol;
    private final UpstreamConnections connections;
    private final Consumer<GatewayEvent> events;
    private final CallRecorder recorder;
    private final Clock clock;
    private final Optional<EventCutter> cutter;
    private final CallerAnswer answer;

    private UpstreamAttempt attempt;
    private int attemptNumber;
    private Upstream upstream;
    private UpstreamHead head;
    private Optional<ByteArrayOutputStream> gathered = Optional.empty();
    private Optional<GatheredAnswer> kept = Optional.empty();
    private Ending ending = Ending.ANSWERED;
    private Runnable leaveCheck = () -> {};
    private Optional<Duration> firstAfter = Optional.empty();

    CallerExchange(
            HttpServerExchange exchange,
            CallerRequest request,
            CallerProtocol protocol,
            UpstreamConnections connections,
            Consumer<GatewayEvent> events,
            CallRecorder recorder,
            Clock clock) {
        this.exchange = exchange;
        this.number = request.number();
        this.description = request.description();
        this.body = request.body();
        this.protocol = protocol;
        this.connections = connections;
        this.events = events;
        this.recorder = recorder;
        this.clock = clock;
        this.cutter = description.route().resumable() ? Optional.of(new EventCutter()) : Optional.empty();
        this.answer = new CallerAnswer(exchange, () -> attempt.resume(), this::callerLeft);
    }

    /** An upstream's whole answer. */
    private record GatheredAnswer(UpstreamHead head, byte[] body) {}

    /** Gives the check for a caller that has left, made before each request to an upstream. */
    void watchFor(Runnable check) {
        leaveCheck = check;
    }

    CallDescription description() {
        return description;
    }

    long bodyBytes() {
        return body.length;
    }

    /** How long after the request's arrival an upstream first began to answer. */
    Optional<Duration> firstAfter() {
        return firstAfter;
    }

    Ending ending() {
        return ending;
    }

    int status() {
        return exchange.getStatusCode();
    }

    /** Runs work on the thread that this exchange lives on. */
    void run(Runnable work) {
        exchange.getIoThread().execute(work);
    }

    void closed() {
        answer.close();
    }

    void dispatch(GatewayAction.Dispatch dispatch) {
        if (answer.isClosed()) {
            return;
        }
        attemptNumber = dispatch.attempt();
        upstream = dispatch.upstream();
        head = null;
        cutter.ifPresent(EventCutter::forgetPartial);
        gathered = Optional.empty();
        attempt =
                new UpstreamAttempt(upstream, description.request(), this::message, body, protocol, connections, this);
        attempt.start();
    }

    /** Makes the request to the upstream at the moment when it can be sent, or none if the caller has left or its time is up. */
    private Optional<ClientRequest> message() {
        leaveCheck.run();
        if (answer.isClosed()) {
            return Optional.empty();
        }
        Duration left = Duration.between(clock.instant(), description.expiresAt());
        if (left.isNegative() || left.isZero()) {
            return Optional.empty();
        }
        Optional<String> resumeAfter =
                answer.hasBegun() ? cutter.flatMap(EventCutter::lastIdentifier) : Optional.empty();
        ClientRequest message =
                new ClientRequest().setMethod(exchange.getRequestMethod()).setPath(target());
        protocol.upstreamRequestHeaders(exchange.getRequestHeaders(), description, upstream, left, resumeAfter)
                .forEach(header -> message.getRequestHeaders().addAll(header.getHeaderName(), header));
        if (body.length > 0) {
            message.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        return Optional.of(message);
    }

    private String target() {
        String query = exchange.getQueryString();
        return query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    void abandon(int abandoned) {
        if (attempt != null && attemptNumber == abandoned) {
            attempt.abandon();
        }
    }

    @Override
    public boolean hasBegun() {
        return answer.hasBegun();
    }

    @Override
    public void answers(UpstreamHead began) {
        head = began;
        if (firstAfter.isEmpty()) {
            firstAfter = Optional.of(Duration.between(description.arrivedAt(), clock.instant()));
            recorder.reached(
                    description.account(),
                    AccountActivity.Step.BEGAN,
                    description.prompt().cost());
        }
        boolean small = began.length().isPresent() && began.length().getAsLong() <= LARGEST_GATHERED_BYTES;
        boolean failed = began.kind() == AnswerKind.FAILED;
        boolean plain =
                !description.route().streaming() && (small || began.length().isEmpty());
        if (!answer.hasBegun() && (failed || plain)) {
            gathered = Optional.of(new ByteArrayOutputStream());
        }
        events.accept(new GatewayEvent.ResponseStarted(number, attemptNumber));
    }

    @Override
    public boolean takes(ByteBuffer part) {
        if (gathered.isPresent()) {
            return gather(part, gathered.get());
        }
        ByteBuffer ready = cutter.map(cut -> ByteBuffer.wrap(cut.whole(part))).orElse(part);
        if (cutter.filter(EventCutter::isOverLimit).isPresent()) {
            attempt.lost("event without an end");
            return false;
        }
        return answer.write(head, ready);
    }

    /** An answer that is too large to gather is passed on as it comes. */
    private boolean gather(ByteBuffer part, ByteArrayOutputStream sofar) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        sofar.writeBytes(bytes);
        boolean failed = head.kind() == AnswerKind.FAILED;
        if (sofar.size() <= (failed ? LARGEST_KEPT_FAILURE_BYTES : LARGEST_GATHERED_BYTES)) {
            return true;
        }
        if (failed) {
            attempt.lost("failure over " + LARGEST_KEPT_FAILURE_BYTES + " bytes");
            return false;
        }
        gathered = Optional.empty();
        return answer.write(head, ByteBuffer.wrap(sofar.toByteArray()));
    }

    @Override
    public void pauses() {
        answer.flush();
    }

    @Override
    public void ends(AttemptResult result, String cause) {
        boolean complete = result instanceof AttemptResult.Delivered;
        if (complete && gathered.isPresent()) {
            GatheredAnswer whole = new GatheredAnswer(head, gathered.get().toByteArray());
            if (head.kind() == AnswerKind.FAILED) {
                kept = Optional.of(whole);
                ended(new AttemptResult.Failed(), "status " + head.status());
            } else {
                deliver(whole);
                ended(result, cause);
            }
        } else if (complete) {
            answer.end(head, cutter.map(EventCutter::rest).orElse(NOTHING));
            ended(result, cause);
        } else {
            boolean partial = result instanceof AttemptResult.Broken && answer.hasBegun();
            ended(result instanceof AttemptResult.Broken && !partial ? new AttemptResult.Lost() : result, cause);
        }
    }

    private void ended(AttemptResult result, String cause) {
        recorder.attemptEnded(description.request(), attemptNumber, upstream, result, cause);
        events.accept(new GatewayEvent.AttemptEnded(number, attemptNumber, result));
    }

    /** Gives the caller the failure that was kept, unless it has the beginning of another answer. */
    void deliverKept() {
        if (answer.hasBegun()) {
            fail(false);
        } else {
            kept.ifPresentOrElse(this::deliver, () -> fail(false));
        }
    }

    private void deliver(GatheredAnswer whole) {
        answer.end(whole.head(), whole.body());
    }

    void refuse(Problem problem, Duration comeBackAfter) {
        if (answer.isClosed()) {
            return;
        }
        if (exchange.isResponseStarted()) {
            breakOff();
        } else {
            problem.send(exchange, comeBackAfter);
        }
    }

    /** Tells the caller that the outcome is unknown, or breaks off an answer that has begun. */
    void fail(boolean timedOut) {
        if (answer.isClosed()) {
            return;
        }
        if (exchange.isResponseStarted()) {
            breakOff();
            return;
        }
        int status = timedOut ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
        String type = timedOut ? "outcome-unknown:timeout" : "outcome-unknown:upstream-connection-lost";
        new Problem(status, type, "The request may have run; nobody can tell.", "").send(exchange);
    }

    private void breakOff() {
        ending = Ending.BROKEN_OFF;
        IoUtils.safeClose(exchange.getConnection());
    }

    /** The caller's connection is closed, by it or because writing to it failed. Its attempt ends at once. */
    void callerLeft() {
        if (!answer.isClosed()) {
            answer.close();
            if (ending == Ending.ANSWERED) {
                ending = Ending.CALLER_LEFT;
            }
            if (attempt != null) {
                attempt.abandon();
            }
            events.accept(new GatewayEvent.CallerDisconnected(number));
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
