package org.sassafrastrail.duty;

/**
 * The content of the row of a lease in the store.
 *
 * @param holder the holder, or the last one if it is released
 * @param token the token of the holder
 * @param renewal how often the holder has renewed the lease, so that each renewal has its own content
 * @param progress how far the duty is done, in the terms of the duty
 * @param released whether the holder gave up the lease
 */
public record LeaseRow(DutyHolder holder, FencingToken token, long renewal, long progress, boolean released) {

    /**
     * Returns the row with a later progress, as it will be written with the next renewal.
     *
     * @param newProgress how far the duty is done
     * @return the row
     */
    public LeaseRow withProgress(long newProgress) {
        return new LeaseRow(holder, token, renewal, Math.max(progress, newProgress), released);
    }

    LeaseRow renewed(long newProgress) {
        return new LeaseRow(holder, token, renewal + 1, Math.max(progress, newProgress), false);
    }

    LeaseRow asReleased(long newProgress) {
        return new LeaseRow(holder, token, renewal + 1, Math.max(progress, newProgress), true);
    }
}
