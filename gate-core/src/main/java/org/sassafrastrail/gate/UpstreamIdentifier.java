package org.sassafrastrail.gate;

/**
 * Identifies one incarnation of an upstream.
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
