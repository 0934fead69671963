package org.sassafrastrail.gateway;

/** What a listener does with new connections. */
enum NewConnections {
    /** Serves them. */
    ACCEPT,

    /** Closes them unread, so that the caller connects to another gateway at once. This costs far less than a refusal. */
    CLOSE,

    /** Leaves them in the operating system's short queue. */
    LEAVE_WAITING
}
