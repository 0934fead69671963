package org.sassafrastrail.model;

/**
 * The name of one version of a model or service.
 *
 * @param value the text, checked by {@link Identifiers}
 */
public record VersionName(String value) implements Comparable<VersionName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public VersionName {
        Identifiers.requireName(value, "version");
    }

    @Override
    public int compareTo(VersionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
