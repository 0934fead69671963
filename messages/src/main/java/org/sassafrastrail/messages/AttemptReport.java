package org.sassafrastrail.messages;

import org.sassafrastrail.model.AttemptIdentifier;

/**
 * Reports the state of an attempt, sent by a sidecar in reply to an {@link AttemptQuery}.
 *
 * @param attempt the attempt
 * @param state the state of the attempt
 */
public record AttemptReport(AttemptIdentifier attempt, State state) implements Message {

    /** The states of an attempt. */
    public enum State {
        /** The attempt has not begun and never will, because its grant is no longer valid. */
        NOT_BEGUN,
        /** The upstream is processing the attempt. */
        RUNNING,
        /** The attempt has begun and ended; its response was delivered or lost. */
        ENDED,
        /** The sidecar has no record of the grant any more, or an earlier incarnation issued it; the attempt may have begun. */
        FORGOTTEN
    }
}
