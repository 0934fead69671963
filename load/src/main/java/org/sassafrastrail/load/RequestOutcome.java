package org.sassafrastrail.load;

/**
 * What a caller got.
 *
 * @param kind what came of the request
 * @param detail the problem's type, or an empty text
 * @param tokens how many tokens came
 * @param firstTokenNanoseconds from sending to the first token, 0 if none came
 * @param meanTokenIntervalNanoseconds the mean time between tokens, 0 if fewer than two came
 * @param totalNanoseconds from sending to the end
 */
record RequestOutcome(
        Kind kind,
        String detail,
        long tokens,
        long firstTokenNanoseconds,
        long meanTokenIntervalNanoseconds,
        long totalNanoseconds) {

    /** What can come of a request. */
    enum Kind {
        /** The whole answer came. */
        WHOLE,
        /** The request was refused and did not run. */
        REFUSED,
        /** The outcome is unknown. */
        UNKNOWN,
        /** The answer failed or broke off. */
        BROKEN
    }
}
