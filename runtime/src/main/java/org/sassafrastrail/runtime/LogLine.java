package org.sassafrastrail.runtime;

import java.util.Arrays;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Formats an event as one line of key=value pairs. Values with other than plain characters are quoted and escaped, so
 * that input can't forge lines or fields.
 */
final class LogLine {

    private static final Pattern UNQUOTED = Pattern.compile("[A-Za-z0-9._:/@+-]+");
    private static final int FIRST_PRINTABLE = ' ';

    private LogLine() {}

    static String of(String event, LogField... fields) {
        return Stream.concat(Stream.of(LogField.of("event", event)), Arrays.stream(fields))
                .map(field -> field.key() + "=" + quote(String.valueOf(field.value())))
                .collect(Collectors.joining(" "));
    }

    private static String quote(String value) {
        return UNQUOTED.matcher(value).matches()
                ? value
                : value.chars().mapToObj(LogLine::escape).collect(Collectors.joining("", "\"", "\""));
    }

    private static String escape(int character) {
        return switch (character) {
            case '"' -> "\\\"";
            case '\\' -> "\\\\";
            case '\n' -> "\\n";
            case '\r' -> "\\r";
            case '\t' -> "\\t";
            default -> character < FIRST_PRINTABLE || Character.getType(character) == Character.CONTROL
                    ? String.format("\\u%04x", character)
                    : Character.toString(character);
        };
    }
}
