package org.sassafrastrail.model;

/** What an upstream serves: a model that streams tokens, or a plain service that answers at once. */
public enum TargetKind {
    /** A model engine that streams tokens; cost is counted in tokens. */
    MODEL,
    /** A plain service; each call costs the same. */
    SERVICE
}
