package org.sassafrastrail.rules;

import org.sassafrastrail.model.FailureDomainName;

/**
 * A failure domain and whether it serves.
 *
 * @param name the failure domain
 * @param inService whether its upstreams may get new work
 * @param comment who asked for the rule
 */
public record FailureDomainRule(FailureDomainName name, boolean inService, String comment) implements Rule {

    @Override
    public String subject() {
        return "domain " + name;
    }

    @Override
    public String text() {
        return subject() + (inService ? " in" : " out");
    }
}
