package org.sassafrastrail.model;

/**
 * The name of one process, configured in its settings and unique in the fleet.
 *
 * @param value the name, valid according to {@link Identifiers#isName}
 */
public record NodeName(String value) implements Comparable<NodeName> {

    /**
     * Validates the name.
     *
     * @throws IllegalArgumentException if the name is not valid
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
