package org.sassafrastrail.gate;

/**
 * Names one life of an upstream.
 *
 * @param value the identifier that it registered under
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
