package org.sassafrastrail.gate;

/**
 * The max-min fair share levels, the common limits per account, in decayed tokens.
 *
 * @param ofServed the level that divides all served tokens among the accounts, infinite while all are served what they request
 * @param ofConfigured the level that divides no more than the configured capacity
 */
record FairLevels(double ofServed, double ofConfigured) {

    static final FairLevels NONE = new FairLevels(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
}
