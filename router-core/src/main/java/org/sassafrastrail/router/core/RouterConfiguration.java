package org.sassafrastrail.router.core;

import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.rules.RuleSet;

/**
 * The configuration in force at a node.
 *
 * @param document the rule file
 * @param rules its rules
 * @param confirmed whether the node may rely on it; not after a pause, until a peer or the platform was heard
 */
public record RouterConfiguration(RuleDocument document, RuleSet rules, boolean confirmed) {

    static final RouterConfiguration NONE = new RouterConfiguration(RuleDocument.NONE, RuleSet.EMPTY, false);

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
        return new RouterConfiguration(document, rules, next);
    }
}
