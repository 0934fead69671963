package org.sassafrastrail.rules;

import org.sassafrastrail.model.FailureDomainName;

/**
 * Declares a failure domain and whether it is in service.
 *
 * @param name the failure domain
 * @param inService whether its upstreams may receive new requests
 * @param comment who requested the rule
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
