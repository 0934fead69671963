package org.sassafrastrail.rules;

import java.util.List;
import java.util.Optional;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

/**
 * A line of the rule file, split into words and comment.
 *
 * @param number the line number, counted from 1
 * @param words the words before the comment
 * @param comment the text after the first {@code #}, empty if there is none or it is blank
 * @param end the column after the last character of the rule
 */
record RuleLine(int number, List<RuleWord> words, Optional<String> comment, int end) {

    private static final Pattern WORD = Pattern.compile("\\S+");

    static RuleLine of(int number, String text) {
        int commentStart = text.indexOf('#');
        String rule = commentStart < 0 ? text : text.substring(0, commentStart);
        Optional<String> comment = commentStart < 0
                ? Optional.empty()
                : Optional.of(text.substring(commentStart + 1).strip());
        List<RuleWord> words = WORD.matcher(rule).results().map(RuleLine::word).toList();
        return new RuleLine(number, words, comment.filter(stripped -> !stripped.isEmpty()), rule.length() + 1);
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
