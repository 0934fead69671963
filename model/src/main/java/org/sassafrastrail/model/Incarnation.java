package org.sassafrastrail.model;

/**
 * Tells the lives of one process apart: a restart brings a higher number.
 *
 * @param value milliseconds since the epoch at the start of the process
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }
}
