package org.sassafrastrail.rules;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Parses a complete rule file. Blank lines and lines that hold only a comment are skipped; Windows line endings and a
 * byte order mark are accepted; an empty file is a rule set without rules.
 */
public final class RuleFileParser {

    /** The maximum length of a line, in characters. */
    public static final int MAXIMUM_LINE = 1000;

    private static final String COMMENT_EXPECTED = "# and who asked for the rule";
    private static final char BYTE_ORDER_MARK = '\uFEFF';

    private final List<RuleParser> parsers = List.of(
            new AccountRuleParser(), new TargetRuleParser(), new FailureDomainRuleParser(), new MoveRuleParser());

    /**
     * Parses the bytes of a rule file.
     *
     * @param bytes the file, in UTF-8
     * @return the rules, or all errors
     */
    public RuleParseResult parse(byte[] bytes) {
        try {
            return parse(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString());
        } catch (CharacterCodingException malformed) {
            return new RuleParseResult.Rejected(
                    List.of(new RuleError(1, 1, RuleError.Kind.BAD_CHARACTER, "a file in UTF-8")));
        }
    }

    /**
     * Parses the text of a rule file.
     *
     * @param text the file
     * @return the rules, or all errors
     */
    public RuleParseResult parse(String text) {
        List<ParsedLine> parsedLines = parseLines(text);
        List<RuleError> errors = Stream.of(
                        parsedLines.stream().flatMap(parsedLine -> parsedLine.errors().stream()),
                        duplicates(parsedLines).stream(),
                        unknownReferences(parsedLines).stream())
                .flatMap(stream -> stream)
                .sorted(Comparator.comparingInt(RuleError::line).thenComparingInt(RuleError::column))
                .toList();
        if (!errors.isEmpty()) {
            return new RuleParseResult.Rejected(errors);
        }
        return new RuleParseResult.Accepted(new RuleSet(parsedLines.stream()
                .flatMap(parsedLine -> parsedLine.rule().stream())
                .toList()));
    }

    private List<ParsedLine> parseLines(String text) {
        String withoutByteOrderMark = !text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK ? text.substring(1) : text;
        List<String> lines = withoutByteOrderMark.lines().toList();
        return IntStream.range(0, lines.size())
                .mapToObj(index -> parseLine(index + 1, lines.get(index)))
                .toList();
    }

    private ParsedLine parseLine(int number, String text) {
        RuleLine line = RuleLine.of(number, text);
        List<RuleError> errors = new ArrayList<>(textErrors(line, text));
        if (line.isBlank() || !errors.isEmpty()) {
            return new ParsedLine(line, Optional.empty(), errors);
        }
        if (line.comment().isEmpty()) {
            errors.add(line.error(line.end(), RuleError.Kind.MISSING_COMMENT, COMMENT_EXPECTED));
        }
        return parseRule(line, errors);
    }

    private ParsedLine parseRule(RuleLine line, List<RuleError> errors) {
        String keyword = line.words().get(0).text();
        Optional<RuleParser> parser = parsers.stream()
                .filter(candidate -> candidate.supports(keyword))
                .findFirst();
        if (parser.isEmpty()) {
            errors.add(line.error(
                    line.words().get(0).column(),
                    RuleError.Kind.UNKNOWN_RULE,
                    "account, model, service, domain or move"));
            return new ParsedLine(line, Optional.empty(), errors);
        }
        RuleClauses clauses = new RuleClauses(line);
        Rule rule = parser.get().parse(clauses, line.comment().orElse(""));
        errors.addAll(clauses.errors());
        return new ParsedLine(line, errors.isEmpty() ? Optional.of(rule) : Optional.empty(), errors);
    }

    private static List<RuleError> textErrors(RuleLine line, String text) {
        if (text.length() > MAXIMUM_LINE) {
            return List.of(line.error(
                    MAXIMUM_LINE + 1, RuleError.Kind.LINE_TOO_LONG, "at most " + MAXIMUM_LINE + " characters"));
        }
        return text.chars().anyMatch(character -> Character.isISOControl(character) && character != '\t')
                ? List.of(line.error(1, RuleError.Kind.BAD_CHARACTER, "a line without control characters"))
                : List.of();
    }

    private static List<RuleError> duplicates(List<ParsedLine> parsedLines) {
        Map<String, Integer> firstLines = new HashMap<>();
        return parsedLines.stream()
                .filter(parsedLine -> parsedLine.rule().isPresent())
                .flatMap(parsedLine -> duplicate(firstLines, parsedLine).stream())
                .toList();
    }

    private static Optional<RuleError> duplicate(Map<String, Integer> firstLines, ParsedLine parsedLine) {
        Integer first = firstLines.putIfAbsent(
                parsedLine.rule().orElseThrow().subject(), parsedLine.line().number());
        return Optional.ofNullable(first).map(line -> parsedLine
                .line()
                .error(1, RuleError.Kind.DUPLICATE, "one rule on this subject; line " + line + " has it"));
    }

    private static List<RuleError> unknownReferences(List<ParsedLine> parsedLines) {
        Set<String> targets = parsedLines.stream()
                .flatMap(parsedLine -> parsedLine.rule().stream())
                .filter(TargetRule.class::isInstance)
                .map(Rule::subject)
                .collect(Collectors.toSet());
        return parsedLines.stream()
                .filter(parsedLine ->
                        parsedLine.rule().filter(MoveRule.class::isInstance).isPresent())
                .filter(parsedLine -> !targets.contains("target "
                        + ((MoveRule) parsedLine.rule().orElseThrow()).move().target()))
                .map(parsedLine -> parsedLine
                        .line()
                        .error(
                                parsedLine.line().words().get(1).column(),
                                RuleError.Kind.UNKNOWN_REFERENCE,
                                "a model or service of this file"))
                .toList();
    }

    /** The result of parsing one line. */
    private record ParsedLine(RuleLine line, Optional<Rule> rule, List<RuleError> errors) {}
}
