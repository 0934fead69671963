package org.sassafrastrail.model;

/**
 * The name of a failure domain, as the operators' rule file gives it.
 *
 * @param value the text, checked by {@link Identifiers}
 */
public record FailureDomainName(String value) implements Comparable<FailureDomainName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public FailureDomainName {
        Identifiers.requireName(value, "failure domain");
    }

    @Override
    public int compareTo(FailureDomainName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
