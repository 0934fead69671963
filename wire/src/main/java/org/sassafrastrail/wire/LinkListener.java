package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** Hears of links. Called by the links' own threads, so it must hand on what it hears. */
public interface LinkListener {

    /**
     * A link is up.
     *
     * @param link the link
     */
    void opened(Link link);

    /**
     * A message came.
     *
     * @param link the link that it came over
     * @param message the message
     */
    void received(Link link, Message message);

    /**
     * A link is down.
     *
     * @param link the link
     * @param reason why
     */
    void closed(Link link, LinkCloseReason reason);
}
