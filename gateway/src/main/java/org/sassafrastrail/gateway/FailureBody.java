package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.sassafrastrail.gate.AttemptResult;

/** The body of a failure, which is stored in case that no later attempt succeeds. */
final class FailureBody implements ResponseBody {

    /** A larger failure is not stored, and counts as no response. */
    private static final int MAX_BYTES = 1024 * 1024;

    private final UpstreamResponseHead head;
    private final ResponseMemory memory;
    private final Consumer<StoredFailure> onStored;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

    FailureBody(UpstreamResponseHead head, ResponseMemory memory, Consumer<StoredFailure> onStored) {
        this.head = head;
        this.memory = memory;
        this.onStored = onStored;
    }

    /**
     * A complete response that tells a failure.
     *
     * @param head its head
     * @param body its body
     */
    record StoredFailure(UpstreamResponseHead head, byte[] body) {}

    @Override
    public BodyForm form() {
        return BodyForm.STORED_FAILURE;
    }

    @Override
    public boolean receive(ByteBuffer part) throws UnusableResponseException {
        int size = buffered.size() + part.remaining();
        memory.holdReceived(size);
        if (size > MAX_BYTES) {
            throw new UnusableResponseException("failure over " + MAX_BYTES + " bytes");
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        buffered.writeBytes(bytes);
        return true;
    }

    @Override
    public End end() {
        memory.storeReceived();
        onStored.accept(new StoredFailure(head, buffered.toByteArray()));
        return new End(new AttemptResult.Failed(), "status " + head.status());
    }
}
