package org.teaselwood.model;

import java.util.Comparator;

/**
 * Identifier of one attempt to run a job, ordered by job and attempt number. Immutable.
 *
 * @param job the job
 * @param number attempt number, from 1, incremented with every attempt of the job
 */
public record AttemptIdentifier(JobIdentifier job, int number) implements Comparable<AttemptIdentifier> {
    private static final Comparator<AttemptIdentifier> ORDER =
            Comparator.comparing(AttemptIdentifier::job).thenComparingInt(AttemptIdentifier::number);

    @Override
    public int compareTo(AttemptIdentifier other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return job + "/" + number;
    }
}
