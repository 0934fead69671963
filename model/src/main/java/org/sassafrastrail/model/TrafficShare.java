package org.sassafrastrail.model;

/**
 * A share of the traffic of one model or service.
 *
 * @param perMille the share in thousandths, from 0 to 1000
 */
public record TrafficShare(int perMille) implements Comparable<TrafficShare> {

    /** No traffic. */
    public static final TrafficShare NONE = new TrafficShare(0);

    /** All traffic. */
    public static final TrafficShare FULL = new TrafficShare(1000);

    /** Validates the range. */
    public TrafficShare {
        if (perMille < 0 || perMille > 1000) {
            throw new IllegalArgumentException("traffic share must be between 0 and 1000 per mille");
        }
    }

    /**
     * Returns the complement of this share.
     *
     * @return the share of the remaining traffic
     */
    public TrafficShare complement() {
        return new TrafficShare(1000 - perMille);
    }

    /**
     * Returns how many of a number of requests this share allows.
     *
     * @param requests the number of requests
     * @return the allowed number, rounded down so that the sum over all routers stays within the share
     */
    public long portionOf(long requests) {
        return requests * perMille / 1000;
    }

    @Override
    public int compareTo(TrafficShare other) {
        return Integer.compare(perMille, other.perMille);
    }
}
