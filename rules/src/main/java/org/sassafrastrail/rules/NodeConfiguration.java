package org.sassafrastrail.rules;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.model.Revision;

/**
 * The configuration in force at a node, which only moves to a higher revision.
 *
 * @param document the rule file
 * @param rules its rules
 * @param confirmed whether the node may rely on it; not after a pause, until a peer or the platform was heard
 * @param lastRequestedAt when a peer was last asked for a newer one
 */
public record NodeConfiguration(RuleDocument document, RuleSet rules, boolean confirmed, Instant lastRequestedAt) {

    /** No configuration yet. */
    public static final NodeConfiguration NONE =
            new NodeConfiguration(RuleDocument.NONE, RuleSet.EMPTY, false, Instant.EPOCH);

    /** One peer is asked at a time, and another one if it does not answer. */
    private static final Duration REQUEST_INTERVAL = Duration.ofSeconds(1);

    /**
     * Returns the revision in force.
     *
     * @return the revision
     */
    public Revision revision() {
        return document.revision();
    }

    /**
     * Tells whether there is a configuration at all.
     *
     * @return whether a rule file is in force
     */
    public boolean isPresent() {
        return !revision().equals(Revision.NONE);
    }

    /**
     * Tells whether the node may act on the configuration.
     *
     * @return whether there is one and it is confirmed
     */
    public boolean isUsable() {
        return isPresent() && confirmed;
    }

    /**
     * Tells whether the node has to hear from a peer or the platform before it acts on the configuration.
     *
     * @return whether there is one and it is not confirmed
     */
    public boolean needsConfirmation() {
        return isPresent() && !confirmed;
    }

    /**
     * Tells whether another rule file replaces the one in force.
     *
     * @param other the other rule file
     * @return whether it is newer
     */
    public boolean isOlderThan(RuleDocument other) {
        return other.revision().isNewerThan(revision());
    }

    /**
     * Takes over a newer rule file.
     *
     * @param newer the rule file
     * @return the configuration, confirmed
     */
    public NodeConfiguration withDocument(RuleDocument newer) {
        return new NodeConfiguration(newer, newer.rules(), true, lastRequestedAt);
    }

    /**
     * Notes whether the node may rely on the configuration.
     *
     * @param next whether it may
     * @return the configuration
     */
    public NodeConfiguration withConfirmed(boolean next) {
        return new NodeConfiguration(document, rules, next, lastRequestedAt);
    }

    /**
     * Notes that a peer was asked for a newer rule file.
     *
     * @param now the time
     * @return the configuration
     */
    public NodeConfiguration withLastRequest(Instant now) {
        return new NodeConfiguration(document, rules, confirmed, now);
    }

    /**
     * Tells whether to ask a peer for its rule file.
     *
     * @param peerRevision the revision that the peer reported
     * @param now the time
     * @return whether it is newer and nobody was asked just now
     */
    public boolean shouldRequest(Revision peerRevision, Instant now) {
        boolean waiting = Duration.between(lastRequestedAt, now).compareTo(REQUEST_INTERVAL) < 0;
        return peerRevision.isNewerThan(revision()) && !waiting;
    }
}
