package org.sassafrastrail.wire;

/** A link can't go on. Stays within this package; others see the {@link LinkClosure}. */
final class LinkFailure extends Exception {

    private static final long serialVersionUID = 1L;

    private final LinkClosure reason;

    LinkFailure(LinkClosure reason) {
        super(reason.name());
        this.reason = reason;
    }

    LinkClosure reason() {
        return reason;
    }
}
