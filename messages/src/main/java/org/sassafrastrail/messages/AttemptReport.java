package org.sassafrastrail.messages;

import org.sassafrastrail.model.AttemptIdentifier;

/**
 * From a sidecar: what became of an attempt.
 *
 * @param attempt the attempt
 * @param state what became of it
 */
public record AttemptReport(AttemptIdentifier attempt, State state) implements Message {

    /** What can have become of an attempt. */
    public enum State {
        /** It never began and never will. */
        NOT_BEGUN,
        /** The upstream runs it. */
        RUNNING,
        /** It began and has ended; its answer was sent or lost. */
        ENDED,
        /** An earlier life of the sidecar may have begun it. */
        FORGOTTEN
    }
}
