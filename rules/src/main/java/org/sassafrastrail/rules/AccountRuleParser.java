package org.sassafrastrail.rules;

import java.util.Set;

import org.sassafrastrail.model.AccountName;

/** Parses {@code account NAME weight N queue N key sha256:DIGEST}. */
final class AccountRuleParser implements RuleParser {

    @Override
    public boolean supports(String keyword) {
        return keyword.equals("account");
    }

    @Override
    public Rule parse(RuleClauses clauses, String comment) {
        clauses.allowKeywords(2, Set.of("weight", "queue", "key"));
        return new AccountRule(
                new AccountName(clauses.subject("client account")),
                clauses.number("weight", 1, AccountRule.MAXIMUM_WEIGHT),
                clauses.number("queue", 1, AccountRule.MAXIMUM_QUEUE),
                clauses.digest("key"),
                comment);
    }
}
