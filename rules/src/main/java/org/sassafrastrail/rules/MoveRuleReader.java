package org.sassafrastrail.rules;

import java.time.Instant;
import java.util.Set;

import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

/** Reads {@code move NAME from V to V by TIME}. */
final class MoveRuleReader implements RuleReader {

    @Override
    public boolean reads(String keyword) {
        return keyword.equals("move");
    }

    @Override
    public Rule read(Clauses clauses, String comment) {
        clauses.allow(2, Set.of("from", "to", "by"));
        TargetName target = new TargetName(clauses.subject("model or service"));
        VersionName from = new VersionName(clauses.name("from"));
        VersionName to = new VersionName(clauses.name("to"));
        Instant due = clauses.instant("by");
        if (clauses.valid() && from.equals(to)) {
            clauses.fail(1, RuleError.Kind.BAD_VALUE, "two versions that differ");
        }
        return clauses.valid() ? new MoveRule(new MoveIdentifier(target, from, to, due), comment) : null;
    }
}
