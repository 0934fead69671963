package org.sassafrastrail.model;

/**
 * The name of one process of the system, unique in the fleet, from its settings.
 *
 * @param value the text, checked by {@link Identifiers}
 */
public record NodeName(String value) implements Comparable<NodeName> {

    /**
     * Checks the text.
     *
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public NodeName {
        Identifiers.requireName(value, "node");
    }

    @Override
    public int compareTo(NodeName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
