package org.sassafrastrail.gate;

/**
 * Identifies an upstream in the registry. A later incarnation may register under the same identifier; {@link
 * Upstream#startedAtMillis} distinguishes the two.
 *
 * @param value the identifier under which it is registered
 */
public record UpstreamIdentifier(String value) implements Comparable<UpstreamIdentifier> {

    @Override
    public int compareTo(UpstreamIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
