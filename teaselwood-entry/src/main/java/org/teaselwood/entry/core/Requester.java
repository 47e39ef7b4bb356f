package org.teaselwood.entry.core;

import java.util.Comparator;

/**
 * Address of the front-end request to which the placer replies. Immutable.
 *
 * @param entry identifier of the entry whose front end received the request
 * @param token token of the request, unique on that entry
 */
public record Requester(String entry, long token) implements Comparable<Requester> {
    private static final Comparator<Requester> ORDER =
            Comparator.comparing(Requester::entry).thenComparingLong(Requester::token);

    @Override
    public int compareTo(Requester other) {
        return ORDER.compare(this, other);
    }
}
