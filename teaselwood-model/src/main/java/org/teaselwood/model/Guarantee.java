package org.teaselwood.model;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * A shape that a team can always reclaim, with its count. Immutable.
 *
 * @param shape the guaranteed shape
 * @param count how many of it at the same time, at least 1
 * @param capabilities what the backend servers of the shape must be able to do
 */
public record Guarantee(Shape shape, int count, Set<String> capabilities) {
    /** Copies the set and validates the count. */
    public Guarantee {
        capabilities = Collections.unmodifiableSet(new TreeSet<>(capabilities));
        if (count < 1) {
            throw TeaselwoodException.of(ErrorKind.BAD_CONFIGURATION, "count of a guarantee must be at least 1");
        }
    }
}
