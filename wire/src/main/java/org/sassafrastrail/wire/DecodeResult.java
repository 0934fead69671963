package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** The result of decoding the content of a frame. */
public sealed interface DecodeResult {

    /**
     * The content was decoded.
     *
     * @param message the message
     */
    record Decoded(Message message) implements DecodeResult {}

    /**
     * The content is not a valid message, or its kind is unknown to this process.
     *
     * @param reason why the content was rejected
     */
    record Rejected(LinkCloseReason reason) implements DecodeResult {}
}
