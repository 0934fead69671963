package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;

/** A body that is written to the caller as it arrives. */
final class StreamedBody implements ResponseBody {

    private static final byte[] NO_BYTES = {};

    private final UpstreamResponseHead head;
    private final CallerResponse response;

    StreamedBody(UpstreamResponseHead head, CallerResponse response) {
        this.head = head;
        this.response = response;
    }

    @Override
    public BodyForm form() {
        return BodyForm.STREAMED;
    }

    @Override
    public boolean receive(ByteBuffer part) {
        return response.write(head, part);
    }

    @Override
    public End end() {
        response.end(head, NO_BYTES);
        return End.DELIVERED;
    }
}
