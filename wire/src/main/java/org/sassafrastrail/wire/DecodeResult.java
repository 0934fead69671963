package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** What came of decoding a frame. */
public sealed interface DecodeResult {

    /**
     * The frame holds a message.
     *
     * @param message the message
     */
    record Decoded(Message message) implements DecodeResult {}

    /**
     * The frame holds no message that this process knows.
     *
     * @param reason why
     */
    record Rejected(LinkCloseReason reason) implements DecodeResult {}
}
