package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** Turns messages into the content of frames and back. */
public interface MessageCodec {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the content of its frame
     */
    byte[] encode(Message message);

    /**
     * Decodes the content of a frame.
     *
     * @param content the content
     * @return the message, or why there is none
     */
    DecodeResult decode(byte[] content);
}
