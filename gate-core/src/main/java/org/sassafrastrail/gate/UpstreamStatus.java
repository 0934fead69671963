package org.sassafrastrail.gate;

/** A status of an upstream that a gateway logs and counts when it changes. */
public enum UpstreamStatus {
    /** The upstream is registered and may get requests. */
    FOUND,
    /** The upstream is draining and gets no new requests. */
    LEAVING,
    /** The registry shows an older entry of the upstream than before, which changes nothing. */
    ENTRY_OUTDATED,
    /** The upstream is no longer registered. */
    GONE,
    /** The upstream failed too often and temporarily gets no requests. */
    EJECTED,
    /** The upstream wants no requests for some time. */
    PAUSED,
    /** The upstream named a limit on its requests, or another one than before. */
    LIMITED,
    /** The upstream has no limit on its requests any more. */
    LIMIT_OVER,
    /** The ejection of the upstream has ended. */
    BACK
}
