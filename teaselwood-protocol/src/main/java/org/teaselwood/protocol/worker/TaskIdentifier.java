package org.teaselwood.protocol.worker;

import java.util.Comparator;
import org.teaselwood.model.AttemptIdentifier;

/**
 * Identifier of one part of an attempt, which is one task of the worker. Immutable.
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
