package org.sassafrastrail.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads and writes frames: four bytes of length, then the content. */
final class Frames {

    /** The largest content, in bytes. */
    static final int LARGEST = 4 * 1024 * 1024;

    /** What the length takes, in bytes. */
    static final int HEADER = 4;

    private Frames() {}

    static void write(DataOutputStream output, byte[] content) throws IOException {
        output.writeInt(content.length);
        output.write(content);
    }

    /** Reads the content of the next frame. */
    static byte[] read(DataInputStream input) throws IOException, LinkException {
        int length = length(input);
        if (length < 0 || length > LARGEST) {
            throw new LinkException(LinkCloseReason.FRAME_TOO_LARGE);
        }
        byte[] content = new byte[length];
        try {
            input.readFully(content);
        } catch (EOFException cut) {
            throw new LinkException(LinkCloseReason.FRAME_CUT);
        }
        return content;
    }

    private static int length(DataInputStream input) throws IOException, LinkException {
        int first = input.read();
        if (first < 0) {
            throw new LinkException(LinkCloseReason.CLOSED_THERE);
        }
        byte[] rest = new byte[HEADER - 1];
        try {
            input.readFully(rest);
        } catch (EOFException cut) {
            throw new LinkException(LinkCloseReason.FRAME_CUT);
        }
        return ByteBuffer.allocate(HEADER).put((byte) first).put(rest).getInt(0);
    }
}
