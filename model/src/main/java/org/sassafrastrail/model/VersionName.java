package org.sassafrastrail.model;

/**
 * The name of one version of a model or service.
 *
 * @param value the name, valid according to {@link Identifiers#isName}
 */
public record VersionName(String value) implements Comparable<VersionName> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the name is not valid
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
