package org.sassafrastrail.model;

/** Why it is unknown whether an attempt ran. */
public enum UnknownReason {
    /** The connection to the upstream broke after the request was sent. */
    UPSTREAM_CONNECTION_LOST,
    /** The sidecar restarted and its previous incarnation may have started the attempt. */
    SIDECAR_RESTARTED,
    /** The sidecar did not report the outcome of the attempt in time. */
    SIDECAR_SILENT
}
