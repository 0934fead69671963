package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.Message;

/** A live link to another process of the system. */
public interface Link {

    /**
     * Returns what the other side said of itself.
     *
     * @return its greeting
     */
    Hello peer();

    /**
     * Returns where the other side is.
     *
     * @return its address
     */
    String host();

    /**
     * Returns a number that tells the links of this process apart.
     *
     * @return the number
     */
    long number();

    /**
     * Sends a message, without waiting for it to leave.
     *
     * @param message the message
     */
    void send(Message message);

    /** Closes the link. */
    void close();
}
