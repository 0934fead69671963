package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/** Follows the bytes that are read from a connection, and finds the first fault in the framing of its messages. */
public interface FramingChecker {

    /**
     * Checks the next bytes.
     *
     * @param bytes the bytes, all of which are consumed unless there is a fault
     * @return how many of them may be read by others; all if there is no fault
     */
    int check(ByteBuffer bytes);

    /**
     * Returns what is wrong with the framing.
     *
     * @return the fault, empty if there is none
     */
    Optional<String> fault();
}
