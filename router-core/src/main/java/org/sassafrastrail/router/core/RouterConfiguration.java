package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.rules.RuleSet;

/**
 * The configuration in force at a node.
 *
 * @param document the rule file
 * @param rules its rules
 * @param confirmed whether the node may rely on it; not after a pause, until a peer or the platform was heard
 * @param askedAt when a peer was last asked for a newer one
 */
public record RouterConfiguration(RuleDocument document, RuleSet rules, boolean confirmed, Instant askedAt) {

    /** One peer is asked at a time, and another one if it does not answer. */
    private static final Duration ASK_AGAIN = Duration.ofSeconds(1);

    static final RouterConfiguration NONE =
            new RouterConfiguration(RuleDocument.NONE, RuleSet.EMPTY, false, Instant.EPOCH);

    /**
     * Tells whether there is a configuration at all.
     *
     * @return whether a rule file is in force
     */
    public boolean present() {
        return !document.revision().equals(Revision.NONE);
    }

    boolean isOlderThan(RuleDocument other) {
        return other.revision().isNewerThan(document.revision());
    }

    RouterConfiguration confirmed(boolean next) {
        return new RouterConfiguration(document, rules, next, askedAt);
    }

    RouterConfiguration asked(Instant now) {
        return new RouterConfiguration(document, rules, confirmed, now);
    }

    boolean shouldAsk(Revision heard, Instant now) {
        boolean waiting = Duration.between(askedAt, now).compareTo(ASK_AGAIN) < 0;
        return heard.isNewerThan(document.revision()) && !waiting;
    }
}
