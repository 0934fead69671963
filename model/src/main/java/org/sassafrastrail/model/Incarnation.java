package org.sassafrastrail.model;

/**
 * Distinguishes successive runs of one process. Each restart has a higher value.
 *
 * @param value the start time of the process, in milliseconds since the epoch
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }
}
