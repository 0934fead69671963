package org.sassafrastrail.gateway;

/** How the body of an upstream's response gets to the caller. */
enum BodyForm {
    /** Event by event, each of which is checked. */
    CHECKED_EVENTS,
    /** As a whole, once it is complete. */
    BUFFERED,
    /** As it arrives, without a check. */
    STREAMED,
    /** As a stored failure, if no later attempt succeeds. */
    STORED_FAILURE
}
