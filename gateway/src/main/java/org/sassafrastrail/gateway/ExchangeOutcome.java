package org.sassafrastrail.gateway;

/** How the exchange with a caller ended. */
enum ExchangeOutcome {
    /** The caller got an answer, whatever its status. */
    ANSWERED,
    /** The answer was broken off, so that it does not look whole. */
    BROKEN_OFF,
    /** The caller closed its connection. */
    CALLER_LEFT
}
