package org.teaselwood.entry.core;

import java.util.Comparator;

/**
 * Who waits for a reply of the placer. Immutable.
 *
 * @param entry the entry whose front asked
 * @param token unique on that entry
 */
public record Requester(String entry, long token) implements Comparable<Requester> {
    private static final Comparator<Requester> ORDER =
            Comparator.comparing(Requester::entry).thenComparingLong(Requester::token);

    @Override
    public int compareTo(Requester other) {
        return ORDER.compare(this, other);
    }
}
