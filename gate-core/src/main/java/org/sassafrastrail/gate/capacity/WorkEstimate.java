package org.sassafrastrail.gate.capacity;

/**
 * How long work is expected to take at an upstream.
 *
 * @param relativeTime the time as a multiple of that at the other upstreams of the target, exactly 1 unless it differs by more
 *     than the accuracy of what was learned
 */
public record WorkEstimate(double relativeTime) {

    /** The estimate for an upstream of which nothing was learned. */
    public static final WorkEstimate USUAL = new WorkEstimate(1);

    /**
     * Returns whether the upstream is known to differ from the others.
     *
     * @return whether it does
     */
    public boolean differs() {
        return relativeTime != 1;
    }
}
