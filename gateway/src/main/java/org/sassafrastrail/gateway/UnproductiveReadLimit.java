package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits how many bytes a connection reads before they become a part of a response. A response head, trailer or chunk
 * size without an end never does, and would fill the memory of the parser behind this conduit.
 */
final class UnproductiveReadLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /** More than any response head of an upstream needs. */
    private static final int MAX_BYTES = 128 * 1024;

    private long bytes;

    UnproductiveReadLimit(StreamSourceConduit next) {
        super(next);
    }

    /** Restarts the count, because a request was sent or the bytes read so far became a part of its response. */
    void progressMade() {
        bytes = 0;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        int count = super.read(buffer);
        check(count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        long count = super.read(buffers, offset, length);
        check(count);
        return count;
    }

    private void check(long count) throws IOException {
        bytes += Math.max(0, count);
        if (bytes > MAX_BYTES) {
            throw new IOException("over " + MAX_BYTES + " bytes without an end of the head, chunk size or trailer");
        }
    }
}
