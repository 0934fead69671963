package org.sassafrastrail.model;

/**
 * The name of a model or service that callers request and upstreams serve.
 *
 * @param value the name, valid according to {@link Identifiers#isName}
 */
public record TargetName(String value) implements Comparable<TargetName> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the name is not valid
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
