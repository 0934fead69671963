package org.sassafrastrail.rules;

import java.time.Instant;
import java.util.Set;

import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

/** Parses {@code move NAME from V to V by TIME}. */
final class MoveRuleParser implements RuleParser {

    @Override
    public boolean supports(String keyword) {
        return keyword.equals("move");
    }

    @Override
    public Rule parse(RuleClauses clauses, String comment) {
        clauses.allowKeywords(2, Set.of("from", "to", "by"));
        TargetName target = new TargetName(clauses.subject("model or service"));
        VersionName from = new VersionName(clauses.name("from"));
        VersionName to = new VersionName(clauses.name("to"));
        Instant due = clauses.instant("by");
        if (clauses.isValid() && from.equals(to)) {
            clauses.addError(1, RuleError.Kind.BAD_VALUE, "two versions that differ");
        }
        return clauses.isValid() ? new MoveRule(new MoveIdentifier(target, from, to, due), comment) : null;
    }
}
