package org.sassafrastrail.wire;

/** Why a link ended. */
public enum LinkCloseReason {
    /** This side closed it. */
    CLOSED_HERE,
    /** The connection could not be made. */
    NOT_CONNECTED,
    /** The other side ended the connection, or it broke between two frames. */
    CLOSED_THERE,
    /** The connection broke in the middle of a frame. */
    FRAME_CUT,
    /** A frame was larger than allowed. */
    FRAME_TOO_LARGE,
    /** A frame held a kind of message that this process does not know. */
    UNKNOWN_KIND,
    /** A frame could not be decoded. */
    MALFORMED,
    /** The first frame was no greeting. */
    NO_GREETING,
    /** The other side speaks a newer protocol. */
    NEWER_PROTOCOL,
    /** The other side does not have the shared key. */
    WRONG_KEY,
    /** The other side takes messages too slowly. */
    QUEUE_FULL
}
