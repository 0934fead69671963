package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Parses single events of a stream. An event consists of lines with a field name and a value, and has one identifier and
 * data; anything else comes from a faulty upstream.
 */
final class EventParser {

    private static final String IDENTIFIER_FIELD = "id:";
    private static final String DATA_FIELD = "data:";

    private EventParser() {}

    /**
     * Returns the identifier of an event.
     *
     * @param event the bytes of the event with its line breaks
     * @return the identifier, empty if the bytes are not an event
     */
    static Optional<String> identifier(ByteBuffer event) {
        List<String> lines = lines(event);
        List<String> identifiers = lines.stream()
                .filter(line -> line.startsWith(IDENTIFIER_FIELD))
                .map(line -> value(line.substring(IDENTIFIER_FIELD.length())))
                .toList();
        boolean hasData = lines.stream().anyMatch(line -> line.startsWith(DATA_FIELD));
        return identifiers.size() == 1 && hasData && lines.stream().allMatch(EventParser::isField)
                ? Optional.of(identifiers.get(0)).filter(EventParser::isIdentifier)
                : Optional.empty();
    }

    /** Returns the value of a field: clients of event streams leave out one space before it and nothing else. */
    private static String value(String afterColon) {
        return afterColon.startsWith(" ") ? afterColon.substring(1) : afterColon;
    }

    /** Returns the lines that are not empty, none if the bytes are not valid UTF-8. */
    private static List<String> lines(ByteBuffer event) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(event)
                    .toString()
                    .lines()
                    .filter(line -> !line.isEmpty())
                    .toList();
        } catch (CharacterCodingException malformed) {
            return List.of();
        }
    }

    /** Returns whether clients that leave out more spaces than one read the same. */
    private static boolean isIdentifier(String value) {
        return !value.isEmpty() && value.equals(value.strip());
    }

    private static boolean isField(String line) {
        int colon = line.indexOf(':');
        return colon >= 0
                && line.chars().limit(colon).allMatch(EventParser::isNameCharacter)
                && line.chars().skip(colon).noneMatch(EventParser::isControlCharacter);
    }

    private static boolean isNameCharacter(int character) {
        return character >= 'a' && character <= 'z' || character >= '0' && character <= '9' || character == '-';
    }

    private static boolean isControlCharacter(int character) {
        return Character.isISOControl(character) && character != '\t';
    }
}
