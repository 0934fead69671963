package org.sassafrastrail.gateway;

/** The outcome of the exchange with a caller. */
enum ExchangeOutcome {
    /** The caller received a response, whatever its status. */
    ANSWERED,
    /** The response was aborted, so that the caller does not take it for complete. */
    BROKEN_OFF,
    /** The caller disconnected. */
    CALLER_LEFT
}
