package org.sassafrastrail.model;

/**
 * The name of a model or service that callers ask for and upstreams serve.
 *
 * @param value the text, checked by {@link Identifiers}
 */
public record TargetName(String value) implements Comparable<TargetName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public TargetName {
        Identifiers.requireName(value, "target");
    }

    @Override
    public int compareTo(TargetName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
