package org.teaselwood.protocol.worker;

import java.util.Comparator;
import org.teaselwood.model.AttemptIdentifier;

/**
 * Identifies one part of an attempt, which is one task at the worker. Immutable.
 *
 * @param attempt the attempt
 * @param part index of the part, from 0
 */
public record TaskIdentifier(AttemptIdentifier attempt, int part) implements Comparable<TaskIdentifier> {
    private static final Comparator<TaskIdentifier> ORDER =
            Comparator.comparing(TaskIdentifier::attempt).thenComparingInt(TaskIdentifier::part);

    @Override
    public int compareTo(TaskIdentifier other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return attempt + "/" + part;
    }
}
