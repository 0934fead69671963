package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;

import org.sassafrastrail.gate.AttemptResult;

/** Learns what comes of an attempt. Called on the input and output thread of the attempt. */
interface AttemptListener {

    /** Tells whether the caller has the beginning of a stream of events from an earlier attempt. */
    boolean hasResponseStarted();

    /** The head of a usable answer came; its body follows. */
    void responseStarted(UpstreamResponseHead head);

    /**
     * A part of the body came.
     *
     * @return whether it was taken whole; if not, nothing more is read until {@link UpstreamAttempt#resume}
     */
    boolean bodyReceived(ByteBuffer part);

    /** No more of the body is there at the moment. */
    void bodyPaused();

    /** The attempt ended, with the body whole or not; the cause is for people, empty if all went well. */
    void attemptEnded(AttemptResult result, String cause);
}
