package org.sassafrastrail.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Reads from a connection up to the first fault of the framing, and fails there. */
public final class CheckedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

    private final ChunkChecker checker;

    /**
     * Creates a source.
     *
     * @param next the source of the connection
     * @param checker checks what is read from it
     */
    public CheckedSource(StreamSourceConduit next, ChunkChecker checker) {
        super(next);
        this.checker = checker;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        failAtFault();
        int start = buffer.position();
        int count = super.read(buffer);
        if (count <= 0) {
            return count;
        }
        int sound = checker.check(buffer.duplicate().position(start).limit(start + count));
        buffer.position(start + sound);
        if (sound == 0) {
            failAtFault();
        }
        return sound;
    }

    @Override
    public long read(ByteBuffer[] buffers, int offset, int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (buffers[index].hasRemaining()) {
                return read(buffers[index]);
            }
        }
        return 0;
    }

    private void failAtFault() throws IOException {
        if (checker.fault().isPresent()) {
            throw new IOException(checker.fault().get());
        }
    }
}
