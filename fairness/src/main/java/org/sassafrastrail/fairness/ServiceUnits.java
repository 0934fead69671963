package org.sassafrastrail.fairness;

/** The unit of weighted service: a thousandth of a token for an account of weight one. */
public final class ServiceUnits {

    /** Units for each token of an account of weight one. */
    public static final long PER_TOKEN = 1000;

    private ServiceUnits() {}

    /**
     * Weighs a cost.
     *
     * @param cost in tokens, or calls for a service
     * @param weight the weight of the client account
     * @return the weighted service
     */
    public static long of(long cost, int weight) {
        return cost * PER_TOKEN / weight;
    }
}
