package org.teaselwood.model;

/**
 * Identifies one accepted job. Immutable.
 *
 * @param value text, unique in the whole system
 */
public record JobIdentifier(String value) implements Comparable<JobIdentifier> {
    @Override
    public int compareTo(JobIdentifier other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
