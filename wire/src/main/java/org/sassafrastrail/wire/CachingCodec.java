package org.sassafrastrail.wire;

import org.sassafrastrail.messages.Message;

/**
 * Caches the encoding of the last message, so that a message that is sent over many links is encoded only once. The cache
 * compares messages by identity.
 */
public final class CachingCodec implements MessageCodec {

    private final MessageCodec delegate;
    private volatile CachedEncoding cached = new CachedEncoding(null, new byte[0]);

    /**
     * Creates the codec.
     *
     * @param delegate the codec that encodes and decodes
     */
    public CachingCodec(MessageCodec delegate) {
        this.delegate = delegate;
    }

    /** A message and its encoding; the array must not be modified. */
    private record CachedEncoding(Message message, byte[] content) {}

    /**
     * {@inheritDoc}
     *
     * <p>Returns the same array for consecutive calls with the same message. Two threads that encode a new message at the
     * same time may both invoke the delegate.
     */
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
