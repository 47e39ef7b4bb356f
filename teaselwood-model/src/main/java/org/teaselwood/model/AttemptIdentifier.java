package org.teaselwood.model;

import java.util.Comparator;

/**
 * Identifies one attempt to run a job. Immutable.
 *
 * @param job the job
 * @param number rises with every attempt of the job, from 1
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
