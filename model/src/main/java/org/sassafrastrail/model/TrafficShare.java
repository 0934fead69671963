package org.sassafrastrail.model;

/**
 * A share of the traffic of one model or service.
 *
 * @param perMille thousandths, from 0 to 1000
 */
public record TrafficShare(int perMille) implements Comparable<TrafficShare> {

    /** No traffic. */
    public static final TrafficShare NONE = new TrafficShare(0);

    /** The whole traffic. */
    public static final TrafficShare FULL = new TrafficShare(1000);

    /** Checks the range. */
    public TrafficShare {
        if (perMille < 0 || perMille > 1000) {
            throw new IllegalArgumentException("traffic share must be between 0 and 1000 per mille");
        }
    }

    /**
     * Returns what is left of the traffic.
     *
     * @return the complement
     */
    public TrafficShare complement() {
        return new TrafficShare(1000 - perMille);
    }

    /**
     * Tells how many of a number of requests fit the share.
     *
     * @param requests the number of requests
     * @return the number that fits, rounded down so that sums over routers stay within the share
     */
    public long portionOf(long requests) {
        return requests * perMille / 1000;
    }

    @Override
    public int compareTo(TrafficShare other) {
        return Integer.compare(perMille, other.perMille);
    }
}
