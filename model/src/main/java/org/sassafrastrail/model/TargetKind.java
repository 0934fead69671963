package org.sassafrastrail.model;

/** The kind of a target: a model that streams tokens, or a plain service that returns one response. */
public enum TargetKind {
    /** A model whose engine streams tokens; its cost is counted in tokens. */
    MODEL,
    /** A plain service; every call has the same cost. */
    SERVICE
}
