package org.sassafrastrail.rules;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Changes single rules in the text of a rule file and preserves all other lines. */
public final class RuleFileEditor {

    /**
     * Replaces the rule on the same subject, or appends the rule if there is none.
     *
     * @param text the rule file
     * @param rule the rule
     * @return the changed rule file
     */
    public String put(String text, Rule rule) {
        List<String> lines = text.lines().toList();
        boolean present = lines.stream().anyMatch(line -> hasSameSubject(line, rule));
        Stream<String> changed = lines.stream().map(line -> hasSameSubject(line, rule) ? rule.line() : line);
        Stream<String> all = present ? changed : Stream.concat(changed, Stream.of(rule.line()));
        return all.collect(Collectors.joining("\n", "", "\n"));
    }

    private static boolean hasSameSubject(String text, Rule rule) {
        List<RuleWord> words = RuleLine.of(1, text).words();
        return words.size() > 1
                && rule.text()
                        .startsWith(words.get(0).text() + " " + words.get(1).text() + " ");
    }
}
