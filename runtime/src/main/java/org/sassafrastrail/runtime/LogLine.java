package org.sassafrastrail.runtime;

/**
 * Formats an event as one line of key=value pairs. Values with other than plain characters are quoted and escaped, so
 * that input can't forge lines or fields.
 */
final class LogLine {

    private static final String UNQUOTED_PUNCTUATION = "._:/@+-";
    private static final int TYPICAL_LENGTH = 256;
    private static final int FIRST_PRINTABLE = ' ';

    private LogLine() {}

    /** Builds the line in one pass, because each request logs several. */
    static String of(String event, LogField... fields) {
        StringBuilder line = new StringBuilder(TYPICAL_LENGTH).append("event=");
        appendValue(line, event);
        for (LogField field : fields) {
            line.append(' ').append(field.key()).append('=');
            appendValue(line, String.valueOf(field.value()));
        }
        return line.toString();
    }

    /** Quotes and escapes a text, so that it cannot be mistaken for another field or line. */
    static String quote(String value) {
        StringBuilder quoted = new StringBuilder();
        appendQuoted(quoted, value);
        return quoted.toString();
    }

    private static void appendValue(StringBuilder line, String value) {
        if (isUnquoted(value)) {
            line.append(value);
        } else {
            appendQuoted(line, value);
        }
    }

    private static boolean isUnquoted(String value) {
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            boolean plain = character >= 'a' && character <= 'z'
                    || character >= 'A' && character <= 'Z'
                    || character >= '0' && character <= '9'
                    || UNQUOTED_PUNCTUATION.indexOf(character) >= 0;
            if (!plain) {
                return false;
            }
        }
        return !value.isEmpty();
    }

    private static void appendQuoted(StringBuilder line, String value) {
        line.append('"');
        for (int index = 0; index < value.length(); index++) {
            appendEscaped(line, value.charAt(index));
        }
        line.append('"');
    }

    private static void appendEscaped(StringBuilder line, char character) {
        switch (character) {
            case '"' -> line.append("\\\"");
            case '\\' -> line.append("\\\\");
            case '\n' -> line.append("\\n");
            case '\r' -> line.append("\\r");
            case '\t' -> line.append("\\t");
            default -> {
                if (character < FIRST_PRINTABLE || Character.getType(character) == Character.CONTROL) {
                    line.append(String.format("\\u%04x", (int) character));
                } else {
                    line.append(character);
                }
            }
        }
    }
}
