package org.sassafrastrail.rules;

import java.util.Locale;
import java.util.Set;

import org.sassafrastrail.model.TargetKind;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

/** Reads {@code model|service NAME version V cold N warm N [repeat yes|no] [fencing honoured|ignored]}. */
final class TargetRuleReader implements RuleReader {

    @Override
    public boolean reads(String keyword) {
        return keyword.equals("model") || keyword.equals("service");
    }

    @Override
    public Rule read(Clauses clauses, String comment) {
        clauses.allow(2, Set.of("version", "cold", "warm", "repeat", "fencing"));
        TargetKind capability = TargetKind.valueOf(clauses.keyword().toUpperCase(Locale.ROOT));
        return new TargetRule(
                new TargetName(clauses.subject(clauses.keyword())),
                capability,
                new VersionName(clauses.name("version")),
                clauses.number("cold", 1, TargetRule.MAXIMUM_LIMIT),
                clauses.number("warm", 1, TargetRule.MAXIMUM_LIMIT),
                clauses.choice("repeat", Set.of("yes", "no"), "yes").equals("yes"),
                fencing(clauses),
                comment);
    }

    private static TargetRule.Fencing fencing(Clauses clauses) {
        String word = clauses.choice("fencing", Set.of("honoured", "ignored"), "ignored");
        return TargetRule.Fencing.valueOf(word.toUpperCase(Locale.ROOT));
    }
}
