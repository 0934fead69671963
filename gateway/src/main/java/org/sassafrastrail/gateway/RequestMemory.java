package org.sassafrastrail.gateway;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory that the body of one request holds of the budgets for bodies. Large bodies have a budget of their own within
 * that of all, so that they leave room for small ones. Thread-safe.
 */
final class RequestMemory {

    /** A larger body counts as large, in bytes. */
    private static final int MAX_SMALL_BODY_BYTES = 64 * 1024;

    private final BufferBudget allBodies;
    private final BufferBudget largeBodies;
    private final AtomicLong held = new AtomicLong();

    RequestMemory(BufferBudget allBodies, BufferBudget largeBodies) {
        this.allBodies = allBodies;
        this.largeBodies = largeBodies;
    }

    /**
     * Reserves memory for the body, in place of what was reserved for it before. One thread reserves.
     *
     * @param bytes the size of the body so far, or its whole size if that is known
     * @return false if no memory is left; what was reserved before stays so
     */
    boolean hold(long bytes) {
        long before = held.get();
        long more = bytes - before;
        long moreLarge = partOfLarge(bytes) - partOfLarge(before);
        if (!largeBodies.reserve(moreLarge)) {
            return false;
        }
        if (!allBodies.reserve(more)) {
            largeBodies.release(moreLarge);
            return false;
        }
        held.set(bytes);
        return true;
    }

    /** Releases everything. */
    void close() {
        long released = held.getAndSet(0);
        largeBodies.release(partOfLarge(released));
        allBodies.release(released);
    }

    private static long partOfLarge(long bytes) {
        return bytes > MAX_SMALL_BODY_BYTES ? bytes : 0;
    }
}
