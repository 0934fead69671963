package org.sassafrastrail.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads and writes frames. A frame consists of a length field of four bytes and the content. */
final class Frames {

    /** The maximum size of the content. */
    static final int MAX_CONTENT_BYTES = 4 * 1024 * 1024;

    /** The size of the length field. */
    static final int HEADER_BYTES = 4;

    private Frames() {}

    static void write(DataOutputStream output, byte[] content) throws IOException {
        output.writeInt(content.length);
        output.write(content);
    }

    /**
     * Reads the content of the next frame.
     *
     * @throws LinkException if the stream has ended, or the frame is truncated or too large
     */
    static byte[] read(DataInputStream input) throws IOException, LinkException {
        int length = readLength(input);
        if (length < 0 || length > MAX_CONTENT_BYTES) {
            throw new LinkException(LinkCloseReason.FRAME_TOO_LARGE);
        }
        byte[] content = new byte[length];
        try {
            input.readFully(content);
        } catch (EOFException truncated) {
            throw new LinkException(LinkCloseReason.FRAME_CUT);
        }
        return content;
    }

    private static int readLength(DataInputStream input) throws IOException, LinkException {
        int firstByte = input.read();
        if (firstByte < 0) {
            throw new LinkException(LinkCloseReason.CLOSED_THERE);
        }
        byte[] remaining = new byte[HEADER_BYTES - 1];
        try {
            input.readFully(remaining);
        } catch (EOFException truncated) {
            throw new LinkException(LinkCloseReason.FRAME_CUT);
        }
        return ByteBuffer.allocate(HEADER_BYTES)
                .put((byte) firstByte)
                .put(remaining)
                .getInt(0);
    }
}
