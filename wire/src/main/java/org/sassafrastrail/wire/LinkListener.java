package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/**
 * Receives the events of links. The methods are called on the threads of the links and must not block, so they hand the
 * events on to other threads.
 */
public interface LinkListener {

    /**
     * Called when a link has been opened, after the peer's greeting was accepted.
     *
     * @param link the link
     */
    void opened(Link link);

    /**
     * Called when a message has been received.
     *
     * @param link the link over which it was received
     * @param message the message
     */
    void received(Link link, Message message);

    /**
     * Called when an opened link has ended.
     *
     * @param link the link
     * @param reason why the link ended
     */
    void closed(Link link, LinkCloseReason reason);
}
