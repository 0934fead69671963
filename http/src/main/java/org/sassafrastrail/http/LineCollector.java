package org.sassafrastrail.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the bytes of a line, of which only the beginning is kept if it is long. A sound line ends with CR and LF. */
final class LineCollector {

    /** Longer fields of a head are passed over unless they frame the body; longer chunk sizes with extensions are faults. */
    private static final int MAX_BYTES = 1024;

    private static final int INITIAL_BYTES = 64;

    private byte[] line = new byte[INITIAL_BYTES];
    private int length;
    private byte last;
    private byte lastBefore;
    private boolean broken;

    /** Adds a byte. Returns whether it ends the line. */
    boolean add(byte next) {
        if (next == '\n') {
            return true;
        }
        broken |= last == '\r' || next == 0;
        lastBefore = last;
        last = next;
        if (length < MAX_BYTES) {
            line = length < line.length ? line : Arrays.copyOf(line, 2 * length);
            line[length] = next;
        }
        length++;
        return false;
    }

    /** Returns the line without its end, or its beginning. */
    String text() {
        int end = last == '\r' ? length - 1 : length;
        return new String(line, 0, Math.min(end, MAX_BYTES), StandardCharsets.ISO_8859_1);
    }

    /** Returns whether the line that has ended has one end only and no NUL. */
    boolean isSound() {
        return last == '\r' && !broken;
    }

    /** Returns the last byte before the end of a sound line, 0 if there is none. */
    byte lastByte() {
        return lastBefore;
    }

    /** Returns whether only the beginning of the line was kept. */
    boolean isCut() {
        return length > MAX_BYTES;
    }

    boolean isEmpty() {
        return length == 0;
    }

    void clear() {
        length = 0;
        last = 0;
        lastBefore = 0;
        broken = false;
    }
}
