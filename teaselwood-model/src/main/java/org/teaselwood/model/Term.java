package org.teaselwood.model;

import java.util.Comparator;

/**
 * Term of an elected placer, used as fencing token. Immutable. An agent rejects every message with a term lower than
 * the highest that it has received.
 *
 * @param number number incremented with every takeover, 0 before the first
 * @param entry identifier of the entry that acts as placer; breaks ties between equal numbers
 */
public record Term(long number, String entry) implements Comparable<Term> {
    /** Term that is lower than that of any placer. */
    public static final Term NONE = new Term(0, "");

    private static final Comparator<Term> ORDER =
            Comparator.comparingLong(Term::number).thenComparing(Term::entry);

    @Override
    public int compareTo(Term other) {
        return ORDER.compare(this, other);
    }

    /** Returns the next term, with the given entry as placer. */
    public Term next(String nextEntry) {
        return new Term(number + 1, nextEntry);
    }
}
