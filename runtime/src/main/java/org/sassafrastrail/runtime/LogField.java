package org.sassafrastrail.runtime;

/**
 * One key-value pair of a log line.
 *
 * @param key the key
 * @param value the value
 */
public record LogField(String key, Object value) {

    /**
     * Creates a field.
     *
     * @param key the key
     * @param value the value
     * @return the field
     */
    public static LogField of(String key, Object value) {
        return new LogField(key, value);
    }
}
