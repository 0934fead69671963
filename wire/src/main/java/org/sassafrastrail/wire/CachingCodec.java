package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/** Encodes a message that goes out on many links once: remembers the last encoding for as long as it is asked for. */
public final class CachingCodec implements MessageCodec {

    private final MessageCodec delegate;
    private volatile CachedEncoding cached = new CachedEncoding(null, new byte[0]);

    /**
     * Makes the codec.
     *
     * @param delegate encodes and decodes
     */
    public CachingCodec(MessageCodec delegate) {
        this.delegate = delegate;
    }

    /** A message and its encoding, which nobody changes. */
    private record CachedEncoding(Message message, byte[] content) {}

    /** Returns the same array for the same message; two threads that ask for a new one at once may both encode it. */
    @Override
    public byte[] encode(Message message) {
        CachedEncoding current = cached;
        if (current.message() == message) {
            return current.content();
        }
        byte[] content = delegate.encode(message);
        cached = new CachedEncoding(message, content);
        return content;
    }

    @Override
    public DecodeResult decode(byte[] content) {
        return delegate.decode(content);
    }
}
