package org.sassafrastrail.wire;

/** A link can't go on. Stays within this package; others see the {@link LinkCloseReason}. */
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
