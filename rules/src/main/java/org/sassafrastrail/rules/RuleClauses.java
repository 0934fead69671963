package org.sassafrastrail.rules;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.sassafrastrail.model.Identifiers;

/**
 * The clauses of one rule line: a name and keyword-value pairs. An instance is used by one parser for one line and
 * collects the errors of the line, so that all are reported at once.
 */
final class RuleClauses {

    /** Replaces a missing or invalid value, so that parsing continues; the rule is discarded because of the error. */
    private static final String PLACEHOLDER = "unreadable";

    private final RuleLine line;
    private final List<RuleError> errors = new ArrayList<>();

    RuleClauses(RuleLine line) {
        this.line = line;
    }

    List<RuleError> errors() {
        return List.copyOf(errors);
    }

    boolean isValid() {
        return errors.isEmpty();
    }

    String keyword() {
        return line.words().get(0).text();
    }

    /** Adds an error for every word in the position of a keyword, which is every second word, that is not allowed. */
    void allowKeywords(int firstKeyword, Set<String> keywords) {
        IntStream.iterate(firstKeyword, index -> index < line.words().size(), index -> index + 2)
                .mapToObj(line.words()::get)
                .filter(word -> !keywords.contains(word.text()))
                .forEach(word -> addError(word.column(), RuleError.Kind.UNEXPECTED_WORD, "one of " + sorted(keywords)));
    }

    String subject(String description) {
        return checkedName(wordAt(1), description);
    }

    String choiceAt(int index, Set<String> choices) {
        return checkedChoice(wordAt(index), choices);
    }

    String name(String keyword) {
        return checkedName(value(keyword), keyword);
    }

    int number(String keyword, int minimum, int maximum) {
        Optional<RuleWord> word = value(keyword);
        String expected = keyword + " followed by a number from " + minimum + " to " + maximum;
        return word.map(found -> parseNumber(found, minimum, maximum, expected)).orElseGet(() -> {
            addMissingWordError(expected);
            return minimum;
        });
    }

    String choice(String keyword, Set<String> choices) {
        return checkedChoice(value(keyword), choices);
    }

    String optionalChoice(String keyword, Set<String> choices, String defaultValue) {
        return value(keyword).isEmpty() && !containsKeyword(keyword) ? defaultValue : choice(keyword, choices);
    }

    KeyDigest digest(String keyword) {
        Optional<RuleWord> word = value(keyword);
        if (word.isPresent() && KeyDigest.isValid(word.get().text())) {
            return KeyDigest.parse(word.get().text());
        }
        addValueError(word, keyword + " followed by sha256: and 64 hexadecimal digits");
        return KeyDigest.of(PLACEHOLDER);
    }

    Instant instant(String keyword) {
        Optional<RuleWord> word = value(keyword);
        try {
            return Instant.parse(word.map(RuleWord::text).orElse(""));
        } catch (DateTimeParseException malformed) {
            addValueError(word, keyword + " followed by a time such as 2026-12-04T18:00:00Z");
            return Instant.EPOCH;
        }
    }

    void addError(int column, RuleError.Kind kind, String expected) {
        errors.add(line.error(column, kind, expected));
    }

    private int parseNumber(RuleWord word, int minimum, int maximum, String expected) {
        try {
            int number = Integer.parseInt(word.text());
            if (number >= minimum && number <= maximum) {
                return number;
            }
        } catch (NumberFormatException malformed) {
            // Reported below, like a number out of range.
        }
        addError(word.column(), RuleError.Kind.BAD_VALUE, expected);
        return minimum;
    }

    private String checkedName(Optional<RuleWord> word, String description) {
        if (word.isPresent() && Identifiers.isName(word.get().text())) {
            return word.get().text();
        }
        addValueError(word, "the name of the " + description);
        return PLACEHOLDER;
    }

    private String checkedChoice(Optional<RuleWord> word, Set<String> choices) {
        if (word.isPresent() && choices.contains(word.get().text())) {
            return word.get().text();
        }
        addValueError(word, "one of " + sorted(choices));
        return sorted(choices).get(0);
    }

    private void addValueError(Optional<RuleWord> word, String expected) {
        word.ifPresentOrElse(
                found -> addError(found.column(), RuleError.Kind.BAD_VALUE, expected),
                () -> addMissingWordError(expected));
    }

    private void addMissingWordError(String expected) {
        addError(line.end(), RuleError.Kind.MISSING_WORD, expected);
    }

    private boolean containsKeyword(String keyword) {
        return line.words().stream().skip(2).anyMatch(word -> word.text().equals(keyword));
    }

    private Optional<RuleWord> value(String keyword) {
        return IntStream.range(2, line.words().size() - 1)
                .filter(index -> line.words().get(index).text().equals(keyword))
                .mapToObj(index -> line.words().get(index + 1))
                .findFirst();
    }

    private Optional<RuleWord> wordAt(int index) {
        return line.words().size() > index ? Optional.of(line.words().get(index)) : Optional.empty();
    }

    private static List<String> sorted(Set<String> words) {
        return words.stream().sorted().toList();
    }
}
