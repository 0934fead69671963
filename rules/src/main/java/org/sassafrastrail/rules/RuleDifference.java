package org.sassafrastrail.rules;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The difference between two rule sets.
 *
 * @param removed rules whose subject no longer exists
 * @param added rules whose subject is new
 * @param changed the new rules whose subject exists in both sets with different content
 */
public record RuleDifference(List<Rule> removed, List<Rule> added, List<Rule> changed) {

    /**
     * Compares two rule sets.
     *
     * @param before the rules in force
     * @param after the new rules
     * @return the difference
     */
    public static RuleDifference between(RuleSet before, RuleSet after) {
        Map<String, Rule> old = bySubject(before);
        Map<String, Rule> next = bySubject(after);
        return new RuleDifference(
                before.rules().stream()
                        .filter(rule -> !next.containsKey(rule.subject()))
                        .toList(),
                after.rules().stream()
                        .filter(rule -> !old.containsKey(rule.subject()))
                        .toList(),
                after.rules().stream()
                        .filter(rule -> old.containsKey(rule.subject()))
                        .filter(rule -> !rule.equals(old.get(rule.subject())))
                        .toList());
    }

    private static Map<String, Rule> bySubject(RuleSet rules) {
        return rules.rules().stream().collect(Collectors.toMap(Rule::subject, Function.identity()));
    }

    /**
     * Returns whether there is no difference.
     *
     * @return whether both rule sets hold the same rules
     */
    public boolean isEmpty() {
        return removed.isEmpty() && added.isEmpty() && changed.isEmpty();
    }
}
