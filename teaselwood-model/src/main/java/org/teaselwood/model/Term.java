package org.teaselwood.model;

import java.util.Comparator;

/**
 * Fencing number of a placer. Immutable. An agent refuses every message of a lower term than the highest it has seen.
 *
 * @param number rises with every takeover, 0 before the first
 * @param entry identifier of the entry that acts as placer; breaks ties between equal numbers
 */
public record Term(long number, String entry) implements Comparable<Term> {
    /** Lower than the term of any placer. */
    public static final Term NONE = new Term(0, "");

    private static final Comparator<Term> ORDER =
            Comparator.comparingLong(Term::number).thenComparing(Term::entry);

    @Override
    public int compareTo(Term other) {
        return ORDER.compare(this, other);
    }

    /** The next term for the given entry. */
    public Term next(String nextEntry) {
        return new Term(number + 1, nextEntry);
    }
}
