package org.sassafrastrail.gateway;

/**
 * The memory that one exchange holds of the budget for buffered responses: for the body that is being received, and for a
 * failure that is stored in case that no later attempt succeeds. Confined to the I/O thread of the exchange.
 */
final class ResponseMemory {

    private final BufferBudget budget;
    private long storedBytes;
    private long receivedBytes;
    private boolean closed;

    ResponseMemory(BufferBudget budget) {
        this.budget = budget;
    }

    /**
     * Reserves memory for the body that is being received, in place of what was reserved for it before.
     *
     * @param bytes the buffered size of the body
     * @throws UnusableResponseException if no memory is left; what was reserved before stays so
     */
    void holdReceived(long bytes) throws UnusableResponseException {
        if (closed) {
            return;
        }
        if (bytes > receivedBytes && !budget.reserve(bytes - receivedBytes)) {
            throw new UnusableResponseException("no memory left for buffered responses");
        }
        if (bytes < receivedBytes) {
            budget.release(receivedBytes - bytes);
        }
        receivedBytes = bytes;
    }

    /** Releases what is reserved for the body that is being received. */
    void releaseReceived() {
        budget.release(receivedBytes);
        receivedBytes = 0;
    }

    /** Turns the memory of the body that was received into that of the stored failure. */
    void storeReceived() {
        budget.release(storedBytes);
        storedBytes = receivedBytes;
        receivedBytes = 0;
    }

    /** Releases everything. Nothing is reserved afterwards. */
    void close() {
        releaseReceived();
        budget.release(storedBytes);
        storedBytes = 0;
        closed = true;
    }
}
