package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** Converts messages to the content of frames and back. */
public interface MessageCodec {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the content of the frame
     */
    byte[] encode(Message message);

    /**
     * Decodes the content of a frame.
     *
     * @param content the content of the frame
     * @return the message, or the reason why it was rejected
     */
    DecodeResult decode(byte[] content);
}
