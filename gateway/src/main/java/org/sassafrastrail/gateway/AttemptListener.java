package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;

import org.sassafrastrail.gate.AttemptResult;

/** Receives the response of an upstream attempt. Called on the I/O thread of the attempt. */
interface AttemptListener {

    /** Returns whether the caller has received a part of a stream of events from an earlier attempt. */
    boolean hasResponseStarted();

    /** The head of any response of the upstream arrived, also of one that is not usable. */
    void noticeReceived(UpstreamNotice notice);

    /** The head of a response to this request arrived, also of one that is not usable. */
    void rateLimitReceived(RateLimitNotice notice);

    /** The head of a usable response arrived; the body follows. */
    void responseStarted(UpstreamResponseHead head);

    /**
     * A part of the body arrived.
     *
     * @return whether the listener can accept more; if not, nothing is read until {@link UpstreamAttempt#resume}
     */
    boolean bodyReceived(ByteBuffer part);

    /** No further part of the body is available at the moment. */
    void bodyPaused();

    /** The attempt ended, with or without a complete body; the cause is human-readable, empty on success. */
    void attemptEnded(AttemptResult result, String cause);
}
