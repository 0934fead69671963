package org.sassafrastrail.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/** Reads from a connection up to the first fault of the framing, and fails there. */
public final class CheckedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

    private final FramingChecker checker;
    private boolean pausing;

    /**
     * Creates a source.
     *
     * @param next the source of the connection
     * @param checker checks what is read from it
     */
    public CheckedSource(StreamSourceConduit next, FramingChecker checker) {
        super(next);
        this.checker = checker;
    }

    /** Returns the checker of what is read. */
    FramingChecker checker() {
        return checker;
    }

    /**
     * Sets whether nothing more arrives at a fault, where reading fails otherwise. Undertow closes a connection from which it
     * could not read, so that no response can be sent.
     *
     * @param pausing whether nothing more arrives; the reader then looks for a fault by itself
     */
    public void setPausingAtFault(boolean pausing) {
        this.pausing = pausing;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        if (checker.fault().isPresent()) {
            return stop();
        }
        int start = buffer.position();
        int count = super.read(buffer);
        if (count <= 0) {
            return count;
        }
        int sound = checker.check(buffer.duplicate().position(start).limit(start + count));
        buffer.position(start + sound);
        return sound == 0 ? stop() : sound;
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

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }

    private int stop() throws IOException {
        if (pausing) {
            return 0;
        }
        throw new IOException(checker.fault().orElseThrow());
    }
}
