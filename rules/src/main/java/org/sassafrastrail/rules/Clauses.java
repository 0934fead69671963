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
 * The words of one line as a name and keyword-value pairs. Used by one reader for one line; gathers the errors of the
 * line, so that all are shown at once.
 */
final class Clauses {

    private static final String PLACEHOLDER = "unreadable";

    private final RuleLine line;
    private final List<RuleError> errors = new ArrayList<>();

    Clauses(RuleLine line) {
        this.line = line;
    }

    List<RuleError> errors() {
        return List.copyOf(errors);
    }

    boolean valid() {
        return errors.isEmpty();
    }

    String keyword() {
        return line.words().get(0).text();
    }

    /** Reports every word at an even place that is none of the keywords. */
    void allow(int firstPair, Set<String> keywords) {
        IntStream.iterate(firstPair, place -> place < line.words().size(), place -> place + 2)
                .mapToObj(line.words()::get)
                .filter(word -> !keywords.contains(word.text()))
                .forEach(word -> fail(word.column(), RuleError.Kind.UNEXPECTED_WORD, "one of " + sorted(keywords)));
    }

    String subject(String what) {
        return checkedName(wordAt(1), what);
    }

    String choiceAt(int place, Set<String> choices) {
        return checkedChoice(wordAt(place), choices);
    }

    String name(String keyword) {
        return checkedName(value(keyword), keyword);
    }

    int number(String keyword, int least, int most) {
        Optional<Word> word = value(keyword);
        String expected = keyword + " followed by a number from " + least + " to " + most;
        return word.map(found -> parseNumber(found, least, most, expected)).orElseGet(() -> {
            missing(expected);
            return least;
        });
    }

    String choice(String keyword, Set<String> choices) {
        return checkedChoice(value(keyword), choices);
    }

    String choice(String keyword, Set<String> choices, String absent) {
        return value(keyword).isEmpty() && !mentions(keyword) ? absent : choice(keyword, choices);
    }

    KeyDigest digest(String keyword) {
        Optional<Word> word = value(keyword);
        if (word.isPresent() && KeyDigest.isText(word.get().text())) {
            return KeyDigest.parse(word.get().text());
        }
        report(word, keyword + " followed by sha256: and 64 hexadecimal digits");
        return KeyDigest.of(PLACEHOLDER);
    }

    Instant instant(String keyword) {
        Optional<Word> word = value(keyword);
        try {
            return Instant.parse(word.map(Word::text).orElse(""));
        } catch (DateTimeParseException malformed) {
            report(word, keyword + " followed by a time such as 2026-12-04T18:00:00Z");
            return Instant.EPOCH;
        }
    }

    void fail(int column, RuleError.Kind kind, String expected) {
        errors.add(line.error(column, kind, expected));
    }

    private int parseNumber(Word word, int least, int most, String expected) {
        try {
            int number = Integer.parseInt(word.text());
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException malformed) {
            // Reported below, as a number out of range is.
        }
        fail(word.column(), RuleError.Kind.BAD_VALUE, expected);
        return least;
    }

    private String checkedName(Optional<Word> word, String what) {
        if (word.isPresent() && Identifiers.isName(word.get().text())) {
            return word.get().text();
        }
        report(word, "the name of the " + what);
        return PLACEHOLDER;
    }

    private String checkedChoice(Optional<Word> word, Set<String> choices) {
        if (word.isPresent() && choices.contains(word.get().text())) {
            return word.get().text();
        }
        report(word, "one of " + sorted(choices));
        return sorted(choices).get(0);
    }

    private void report(Optional<Word> word, String expected) {
        word.ifPresentOrElse(
                found -> fail(found.column(), RuleError.Kind.BAD_VALUE, expected), () -> missing(expected));
    }

    private void missing(String expected) {
        fail(line.end(), RuleError.Kind.MISSING_WORD, expected);
    }

    private boolean mentions(String keyword) {
        return line.words().stream().skip(2).anyMatch(word -> word.text().equals(keyword));
    }

    private Optional<Word> value(String keyword) {
        return IntStream.range(2, line.words().size() - 1)
                .filter(place -> line.words().get(place).text().equals(keyword))
                .mapToObj(place -> line.words().get(place + 1))
                .findFirst();
    }

    private Optional<Word> wordAt(int place) {
        return line.words().size() > place ? Optional.of(line.words().get(place)) : Optional.empty();
    }

    private static List<String> sorted(Set<String> words) {
        return words.stream().sorted().toList();
    }
}
