package org.sassafrastrail.wire;

/** The reason why a link ended or could not be opened. */
public enum LinkCloseReason {
    /** This process closed the link. */
    CLOSED_HERE,
    /** The connection could not be established. */
    NOT_CONNECTED,
    /** The peer closed the connection, or the connection broke between two frames. */
    CLOSED_THERE,
    /** The connection broke in the middle of a frame. */
    FRAME_CUT,
    /** A frame exceeded the maximum size. */
    FRAME_TOO_LARGE,
    /** A frame contained a message of a kind that is unknown to this process. */
    UNKNOWN_KIND,
    /** The content of a frame could not be decoded. */
    MALFORMED,
    /** The first message was not a greeting. */
    NO_GREETING,
    /** The peer uses a newer protocol version. */
    NEWER_PROTOCOL,
    /** The peer sent a wrong shared key. */
    WRONG_KEY,
    /** The peer sent nothing for the read timeout. */
    SILENT,
    /** A message of the peer could not be processed. */
    NOT_PROCESSED,
    /** This process has as many links as it allows. */
    TOO_MANY_LINKS,
    /** The send queue is full because the peer reads too slowly. */
    QUEUE_FULL
}
