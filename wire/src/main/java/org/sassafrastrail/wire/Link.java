package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.Message;

/** A connected link to another process of the fleet. */
public interface Link {

    /**
     * Returns the identity of the peer.
     *
     * @return the greeting that the peer sent
     */
    Hello peer();

    /**
     * Returns the peer's IP address.
     *
     * @return the address as text
     */
    String host();

    /**
     * Returns a number that identifies this link within the process.
     *
     * @return the number, higher than that of any earlier link
     */
    long number();

    /**
     * Queues a message for sending and returns at once. Closes the link when its send queue is full.
     *
     * @param message the message
     */
    void send(Message message);

    /** Closes the link. */
    void close();
}
