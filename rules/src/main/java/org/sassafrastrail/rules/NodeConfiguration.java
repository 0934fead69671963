package org.sassafrastrail.rules;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.model.Revision;

/**
 * The configuration in force at a node. It is only ever replaced by a higher revision.
 *
 * @param document the rule file
 * @param rules the rules of the file
 * @param confirmed whether the node may rely on it; false after a pause, until a peer or the platform has responded or,
 *     at a router, a read from the platform has failed
 * @param lastRequestedAt when a newer rule file was last requested from a peer
 */
public record NodeConfiguration(RuleDocument document, RuleSet rules, boolean confirmed, Instant lastRequestedAt) {

    /** No configuration yet. */
    public static final NodeConfiguration NONE =
            new NodeConfiguration(RuleDocument.NONE, RuleSet.EMPTY, false, Instant.EPOCH);

    /** One peer is asked at a time; after this interval without a response another one may be asked. */
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
     * Returns whether there is a configuration at all.
     *
     * @return whether a rule file is in force
     */
    public boolean isPresent() {
        return !revision().equals(Revision.NONE);
    }

    /**
     * Returns whether the node may act on the configuration.
     *
     * @return whether there is one and it is confirmed
     */
    public boolean isUsable() {
        return isPresent() && confirmed;
    }

    /**
     * Returns whether the configuration has to be confirmed before the node acts on it.
     *
     * @return whether there is one and it is not confirmed
     */
    public boolean needsConfirmation() {
        return isPresent() && !confirmed;
    }

    /**
     * Returns whether another rule file replaces the one in force.
     *
     * @param other the other rule file
     * @return whether the other one is newer
     */
    public boolean isOlderThan(RuleDocument other) {
        return other.revision().isNewerThan(revision());
    }

    /**
     * Replaces the rule file by a newer one.
     *
     * @param newer the rule file
     * @return the new configuration, which is confirmed
     */
    public NodeConfiguration withDocument(RuleDocument newer) {
        return new NodeConfiguration(newer, newer.rules(), true, lastRequestedAt);
    }

    /**
     * Sets whether the node may rely on the configuration.
     *
     * @param next whether it may
     * @return the changed configuration
     */
    public NodeConfiguration withConfirmed(boolean next) {
        return new NodeConfiguration(document, rules, next, lastRequestedAt);
    }

    /**
     * Records that a newer rule file was requested from a peer.
     *
     * @param now the time of the request
     * @return the changed configuration
     */
    public NodeConfiguration withLastRequest(Instant now) {
        return new NodeConfiguration(document, rules, confirmed, now);
    }

    /**
     * Returns whether to request the rule file of a peer.
     *
     * @param peerRevision the revision that the peer reported
     * @param now the current time
     * @return whether it is newer and no other request was sent just before
     */
    public boolean shouldRequest(Revision peerRevision, Instant now) {
        boolean recentlyRequested = Duration.between(lastRequestedAt, now).compareTo(REQUEST_INTERVAL) < 0;
        return peerRevision.isNewerThan(revision()) && !recentlyRequested;
    }
}
