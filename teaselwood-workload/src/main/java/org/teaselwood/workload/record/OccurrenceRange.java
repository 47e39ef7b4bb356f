package org.teaselwood.workload.record;

/**
 * Consecutive occurrences of a job, all of them finished. Immutable.
 *
 * @param first number of the first occurrence, from 0
 * @param last number of the last occurrence, at least {@code first}
 */
public record OccurrenceRange(int first, int last) {
    /** Fails if the range is empty or negative. */
    public OccurrenceRange {
        if (first < 0 || last < first || last == Integer.MAX_VALUE) {
            throw new IllegalArgumentException("occurrences " + first + " to " + last);
        }
    }
}
