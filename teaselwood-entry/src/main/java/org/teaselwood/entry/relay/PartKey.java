package org.teaselwood.entry.relay;

import java.util.Comparator;
import org.teaselwood.model.AttemptIdentifier;

/**
 * Key of one part of an attempt. Immutable.
 *
 * @param attempt the attempt
 * @param part index of the part, from 0
 */
public record PartKey(AttemptIdentifier attempt, int part) implements Comparable<PartKey> {
    private static final Comparator<PartKey> ORDER =
            Comparator.comparing(PartKey::attempt).thenComparingInt(PartKey::part);

    @Override
    public int compareTo(PartKey other) {
        return ORDER.compare(this, other);
    }
}
