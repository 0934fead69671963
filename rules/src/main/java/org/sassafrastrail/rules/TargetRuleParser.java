package org.sassafrastrail.rules;

import java.util.Locale;
import java.util.Set;

import org.sassafrastrail.model.TargetKind;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

/** Parses {@code model|service NAME version V cold N warm N [repeat yes|no] [fencing honoured|ignored]}. */
final class TargetRuleParser implements RuleParser {

    @Override
    public boolean supports(String keyword) {
        return keyword.equals("model") || keyword.equals("service");
    }

    @Override
    public Rule parse(RuleClauses clauses, String comment) {
        clauses.allowKeywords(2, Set.of("version", "cold", "warm", "repeat", "fencing"));
        TargetKind kind = TargetKind.valueOf(clauses.keyword().toUpperCase(Locale.ROOT));
        return new TargetRule(
                new TargetName(clauses.subject(clauses.keyword())),
                kind,
                new VersionName(clauses.name("version")),
                clauses.number("cold", 1, TargetRule.MAXIMUM_LIMIT),
                clauses.number("warm", 1, TargetRule.MAXIMUM_LIMIT),
                clauses.optionalChoice("repeat", Set.of("yes", "no"), "yes").equals("yes"),
                fencing(clauses),
                comment);
    }

    private static TargetRule.Fencing fencing(RuleClauses clauses) {
        String word = clauses.optionalChoice("fencing", Set.of("honoured", "ignored"), "ignored");
        return TargetRule.Fencing.valueOf(word.toUpperCase(Locale.ROOT));
    }
}
