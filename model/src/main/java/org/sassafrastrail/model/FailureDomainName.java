package org.sassafrastrail.model;

/**
 * The name of a failure domain, as declared in the operators' rule file.
 *
 * @param value the name, valid according to {@link Identifiers#isName}
 */
public record FailureDomainName(String value) implements Comparable<FailureDomainName> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the name is not valid
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
