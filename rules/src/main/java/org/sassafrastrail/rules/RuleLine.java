package org.sassafrastrail.rules;

import java.util.List;
import java.util.Optional;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * A line of the rule file, cut into words and comment.
 *
 * @param number counted from 1
 * @param words the words before the comment
 * @param comment the text behind the first {@code #}, when there is any
 * @param end the column behind the last character of the rule
 */
record RuleLine(int number, List<RuleWord> words, Optional<String> comment, int end) {

    private static final Pattern WORD = Pattern.compile("\\S+");

    static RuleLine of(int number, String text) {
        int hash = text.indexOf('#');
        String rule = hash < 0 ? text : text.substring(0, hash);
        Optional<String> comment = hash < 0
                ? Optional.empty()
                : Optional.of(text.substring(hash + 1).strip());
        List<RuleWord> words = WORD.matcher(rule).results().map(RuleLine::word).toList();
        return new RuleLine(number, words, comment.filter(reason -> !reason.isEmpty()), rule.length() + 1);
    }

    private static RuleWord word(MatchResult match) {
        return new RuleWord(match.group(), match.start() + 1);
    }

    boolean isBlank() {
        return words.isEmpty();
    }

    RuleError error(int column, RuleError.Kind kind, String expected) {
        return new RuleError(number, column, kind, expected);
    }
}
