package org.sassafrastrail.model;

/**
 * The name of a client account, as declared in the operators' rule file.
 *
 * @param value the name, valid according to {@link Identifiers#isName}
 */
public record AccountName(String value) implements Comparable<AccountName> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the name is not valid
     */
    public AccountName {
        Identifiers.requireName(value, "client account");
    }

    @Override
    public int compareTo(AccountName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
