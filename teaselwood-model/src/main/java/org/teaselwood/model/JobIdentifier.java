package org.teaselwood.model;

/**
 * Identifier of an accepted job. Immutable.
 *
 * @param value text that is unique across all regions
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
