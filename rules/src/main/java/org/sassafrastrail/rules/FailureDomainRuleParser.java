package org.sassafrastrail.rules;

import java.util.Set;

import org.sassafrastrail.model.FailureDomainName;

/** Parses {@code domain NAME in|out}. */
final class FailureDomainRuleParser implements RuleParser {

    @Override
    public boolean supports(String keyword) {
        return keyword.equals("domain");
    }

    @Override
    public Rule parse(RuleClauses clauses, String comment) {
        clauses.allowKeywords(3, Set.of());
        return new FailureDomainRule(
                new FailureDomainName(clauses.subject("failure domain")),
                clauses.choiceAt(2, Set.of("in", "out")).equals("in"),
                comment);
    }
}
