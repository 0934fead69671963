package org.sassafrastrail.rules;

import java.util.Set;

import org.sassafrastrail.model.FailureDomainName;

/** Reads {@code domain NAME in|out}. */
final class FailureDomainRuleReader implements RuleReader {

    @Override
    public boolean reads(String keyword) {
        return keyword.equals("domain");
    }

    @Override
    public Rule read(Clauses clauses, String comment) {
        clauses.allow(3, Set.of());
        return new FailureDomainRule(
                new FailureDomainName(clauses.subject("failure domain")),
                clauses.choiceAt(2, Set.of("in", "out")).equals("in"),
                comment);
    }
}
