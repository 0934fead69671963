package org.sassafrastrail.fairness;

/** The unit of weighted service: a thousandth of a token for an account of weight one. */
public final class ServiceUnits {

    /** Units per token of an account of weight one. */
    public static final long PER_TOKEN = 1000;

    private ServiceUnits() {}

    /**
     * Returns the weighted service for a cost.
     *
     * @param cost the cost, in tokens for a model and in calls for a service
     * @param weight the weight of the client account
     * @return the weighted service, in units
     */
    public static long of(long cost, int weight) {
        return cost * PER_TOKEN / weight;
    }
}
