package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** Encodes a message that goes out on many links once: remembers the last encoding for as long as it is asked for. */
public final class CachingCodec implements MessageCodec {

    private final MessageCodec codec;
    private volatile Encoding last = new Encoding(null, new byte[0]);

    /**
     * Makes the codec.
     *
     * @param codec encodes and decodes
     */
    public CachingCodec(MessageCodec codec) {
        this.codec = codec;
    }

    /** A message and its encoding, which nobody changes. */
    private record Encoding(Message message, byte[] content) {}

    /** Returns the same array for the same message; two threads that ask for a new one at once may both encode it. */
    @Override
    public byte[] encode(Message message) {
        Encoding known = last;
        if (known.message() == message) {
            return known.content();
        }
        byte[] content = codec.encode(message);
        last = new Encoding(message, content);
        return content;
    }

    @Override
    public DecodeResult decode(byte[] content) {
        return codec.decode(content);
    }
}
