package org.sassafrastrail.gate;

import java.util.Iterator;
import java.util.List;

/** The even level of max-min fair shares. */
final class MaxMinLevel {

    private MaxMinLevel() {}

    /**
     * Finds the level at which all get together what there is, if nobody gets more than the level or than it asked for.
     *
     * @param requested what each asked for
     * @param total what there is
     * @return the level, infinite if all that was asked for is there
     */
    static double of(List<Double> requested, double total) {
        double left = total;
        int claimants = requested.size();
        for (Iterator<Double> least = requested.stream().sorted().iterator(); least.hasNext(); claimants--) {
            double claim = least.next();
            double even = left / claimants;
            if (claim > even) {
                return even;
            }
            left -= claim;
        }
        return Double.POSITIVE_INFINITY;
    }
}
