package org.sassafrastrail.gateway;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that the requests or responses of all callers may occupy in memory at once. */
final class BufferBudget {

    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves memory.
     *
     * @param bytes the number of bytes
     * @return false if they exceed what is left; nothing is reserved then
     */
    boolean reserve(long bytes) {
        if (reserved.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        reserved.addAndGet(-bytes);
    }
}
