package org.sassafrastrail.model;

/**
 * Identifies one caller's request in the whole fleet; every attempt at it shares the identifier.
 *
 * @param value the text, checked by {@link Identifiers}
 */
public record RequestIdentifier(String value) implements Comparable<RequestIdentifier> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public RequestIdentifier {
        Identifiers.requireName(value, "request");
    }

    @Override
    public int compareTo(RequestIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
