package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;

/** Bytes that a channel did not accept yet. What is written later follows them. */
final class UnwrittenBytes {

    private ByteBuffer bytes = ByteBuffer.allocate(0);

    boolean isEmpty() {
        return !bytes.hasRemaining();
    }

    /**
     * Writes a part, or keeps what the channel does not accept of it.
     *
     * @param part the next bytes
     * @param channel the channel, which does not block
     * @return whether everything has been written
     * @throws IOException if the channel fails
     */
    boolean write(ByteBuffer part, WritableByteChannel channel) throws IOException {
        if (!isEmpty() || !writeFully(part, channel)) {
            bytes = join(bytes, part);
        }
        return isEmpty();
    }

    /**
     * Writes what is left.
     *
     * @param channel the channel, which does not block
     * @return whether everything has been written
     * @throws IOException if the channel fails
     */
    boolean writeRest(WritableByteChannel channel) throws IOException {
        return writeFully(bytes, channel);
    }

    private static boolean writeFully(ByteBuffer part, WritableByteChannel channel) throws IOException {
        while (part.hasRemaining()) {
            if (channel.write(part) == 0) {
                return false;
            }
        }
        return true;
    }

    private static ByteBuffer join(ByteBuffer first, ByteBuffer second) {
        ByteBuffer joined = ByteBuffer.allocate(first.remaining() + second.remaining());
        joined.put(first).put(second).flip();
        return joined;
    }
}
