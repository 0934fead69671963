package org.sassafrastrail.model;

/** Why nobody can tell whether an attempt ran. */
public enum UnknownReason {
    /** The connection to the upstream broke after the request was sent. */
    UPSTREAM_CONNECTION_LOST,
    /** The sidecar restarted and its earlier life may have begun the attempt. */
    SIDECAR_RESTARTED,
    /** The sidecar did not say in time what became of the attempt. */
    SIDECAR_SILENT
}
