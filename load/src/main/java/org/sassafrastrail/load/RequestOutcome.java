package org.sassafrastrail.load;

/**
 * The outcome of a request as the caller sees it.
 *
 * @param kind the kind of outcome
 * @param detail the type of the problem, empty if there was none
 * @param tokens the number of tokens received
 * @param firstTokenNanoseconds the time from sending the request to the first token, 0 if none was received
 * @param meanTokenIntervalNanoseconds the mean time between tokens, 0 if fewer than two were received
 * @param totalNanoseconds the time from sending the request to the end of the response
 */
record RequestOutcome(
        Kind kind,
        String detail,
        long tokens,
        long firstTokenNanoseconds,
        long meanTokenIntervalNanoseconds,
        long totalNanoseconds) {

    /** The kinds of outcome. */
    enum Kind {
        /** The complete response was received. */
        WHOLE,
        /** The request was rejected and did not run. */
        REFUSED,
        /** It is unknown whether the request ran. */
        UNKNOWN,
        /** The request failed, or its response was truncated or invalid. */
        BROKEN
    }
}
