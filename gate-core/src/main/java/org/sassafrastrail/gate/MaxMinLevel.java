package org.sassafrastrail.gate;

import java.util.Iterator;
import java.util.List;

/** Computes the level of max-min fair shares. */
final class MaxMinLevel {

    private MaxMinLevel() {}

    /**
     * Returns the level at which the shares add up to the total, where each share is the smaller of a demand and the
     * level.
     *
     * @param requested the demands
     * @param total the capacity to share
     * @return the level, infinite if the total covers all demands
     */
    static double of(List<Double> requested, double total) {
        double remaining = total;
        int claimants = requested.size();
        for (Iterator<Double> ascending = requested.stream().sorted().iterator(); ascending.hasNext(); claimants--) {
            double demand = ascending.next();
            double equalShare = remaining / claimants;
            if (demand > equalShare) {
                return equalShare;
            }
            remaining -= demand;
        }
        return Double.POSITIVE_INFINITY;
    }
}
