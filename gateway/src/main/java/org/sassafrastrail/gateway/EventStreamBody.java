package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;

import org.sassafrastrail.gate.AttemptResult;

/** A stream of events, of which only complete ones are written to the caller. */
final class EventStreamBody implements ResponseBody {

    private final UpstreamResponseHead head;
    private final CallerResponse response;
    private final EventStreamSplitter splitter;
    private final ResponseMemory memory;
    private final Runnable onEvent;
    private final Optional<String> lastBefore;

    /**
     * Creates a stream without events.
     *
     * @param head the head of the response
     * @param response the response to the caller
     * @param splitter holds what all attempts of the exchange have received of the stream
     * @param memory the memory of the exchange
     * @param onEvent called with each part from the first event on
     */
    EventStreamBody(
            UpstreamResponseHead head,
            CallerResponse response,
            EventStreamSplitter splitter,
            ResponseMemory memory,
            Runnable onEvent) {
        this.head = head;
        this.response = response;
        this.splitter = splitter;
        this.memory = memory;
        this.onEvent = onEvent;
        this.lastBefore = splitter.lastIdentifier();
    }

    @Override
    public BodyForm form() {
        return BodyForm.CHECKED_EVENTS;
    }

    @Override
    public boolean receive(ByteBuffer part) throws UnusableResponseException {
        ByteBuffer events = ByteBuffer.wrap(splitter.completeEvents(part));
        if (splitter.isOverLimit()) {
            throw new UnusableResponseException("event not terminated within the size limit");
        }
        memory.holdReceived(splitter.partialBytes());
        if (hasEvent()) {
            onEvent.run();
        }
        boolean written = response.write(head, events);
        if (splitter.isGarbled()) {
            throw new UnusableResponseException(
                    "garbled stream after event " + splitter.lastIdentifier().orElse("none"));
        }
        return written;
    }

    @Override
    public End end() {
        if (isCutOff()) {
            return new End(new AttemptResult.Broken(), "the stream ends without its end");
        }
        response.end(head, splitter.remainder());
        return End.DELIVERED;
    }

    /**
     * Returns whether the stream has ended without its end: inside an event, or before the first one. Only a stream that is
     * resumed may have no more events, if its framing says so.
     */
    private boolean isCutOff() {
        return splitter.isInsideEvent() || !hasEvent() && (lastBefore.isEmpty() || !head.framed());
    }

    private boolean hasEvent() {
        return !splitter.lastIdentifier().equals(lastBefore);
    }
}
