package org.sassafrastrail.wire;

/**
 * Signals that a link has failed. Not visible outside this package, where a link's end is reported as a
 * {@link LinkCloseReason}.
 */
final class LinkException extends Exception {

    private static final long serialVersionUID = 1L;

    private final LinkCloseReason reason;

    LinkException(LinkCloseReason reason) {
        super(reason.name());
        this.reason = reason;
    }

    LinkCloseReason reason() {
        return reason;
    }
}
