package org.sassafrastrail.model;

/**
 * Identifies one request of a caller across the whole fleet. All attempts at the request share the identifier.
 *
 * @param value the name, valid according to {@link Identifiers#isName}
 */
public record RequestIdentifier(String value) implements Comparable<RequestIdentifier> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the name is not valid
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
