package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * A body that is buffered to its end, so that another attempt can still replace a truncated one. One that is too large for
 * that is streamed from then on.
 */
final class BufferedBody implements ResponseBody {

    /** The largest body that is buffered, in bytes. */
    static final int MAX_BYTES = 64 * 1024;

    private final UpstreamResponseHead head;
    private final CallerResponse response;
    private final ResponseMemory memory;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private boolean streamed;

    BufferedBody(UpstreamResponseHead head, CallerResponse response, ResponseMemory memory) {
        this.head = head;
        this.response = response;
        this.memory = memory;
    }

    @Override
    public BodyForm form() {
        return streamed ? BodyForm.STREAMED : BodyForm.BUFFERED;
    }

    @Override
    public boolean receive(ByteBuffer part) throws UnusableResponseException {
        if (streamed) {
            return response.write(head, part);
        }
        memory.holdReceived(buffered.size() + part.remaining());
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        buffered.writeBytes(bytes);
        if (buffered.size() <= MAX_BYTES) {
            return true;
        }
        streamed = true;
        memory.releaseReceived();
        return response.write(head, ByteBuffer.wrap(takeBuffered()));
    }

    private byte[] takeBuffered() {
        byte[] bytes = buffered.toByteArray();
        buffered.reset();
        return bytes;
    }

    @Override
    public End end() {
        response.end(head, takeBuffered());
        return End.DELIVERED;
    }
}
