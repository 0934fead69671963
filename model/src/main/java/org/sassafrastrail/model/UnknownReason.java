package org.sassafrastrail.model;

/** Why it is unknown whether an attempt ran. */
public enum UnknownReason {
    /**
     * After the request was sent, the sidecar lost its connection to the upstream, or the router lost its connection to
     * the sidecar.
     */
    UPSTREAM_CONNECTION_LOST,
    /**
     * The sidecar restarted and its previous incarnation may have started the attempt, or the sidecar no longer has a
     * record of it.
     */
    SIDECAR_RESTARTED,
    /** The sidecar did not report the outcome of the attempt in time. */
    SIDECAR_SILENT
}
