package org.sassafrastrail.model;

/**
 * The name of a client account, as the operators' rule file gives it.
 *
 * @param value the text, checked by {@link Identifiers}
 */
public record AccountName(String value) implements Comparable<AccountName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not a valid name
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
