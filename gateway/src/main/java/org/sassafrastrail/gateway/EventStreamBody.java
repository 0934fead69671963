package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;

import org.sassafrastrail.gate.AttemptResult;

/** A stream of events, of which only complete ones are written to the caller. */
final class EventStreamBody implements ResponseBody {

    private final UpstreamResponseHead head;
    private final CallerResponse response;
    private final EventStreamSplitter splitter;
    private final ResponseMemory memory;
    private final Runnable onEvent;
    private boolean hasEvent;

    /**
     * Creates a stream without events.
     *
     * @param head the head of the response
     * @param response the response to the caller
     * @param splitter holds what all attempts of the exchange have received of the stream
     * @param memory the memory of the exchange
     * @param onEvent called with each part that completes an event
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
        if (events.hasRemaining()) {
            hasEvent = true;
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
            return new End(new AttemptResult.Broken(), "the stream ends before an event ends");
        }
        response.end(head, splitter.remainder());
        return End.DELIVERED;
    }

    /**
     * Returns whether the stream has ended without its end: inside an event, or before the first one if only the end of the
     * connection shows the end of the body.
     */
    private boolean isCutOff() {
        return splitter.isInsideEvent() || !hasEvent && !head.framed();
    }
}
