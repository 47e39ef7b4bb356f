package org.teaselwood.model;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Number of instances of a shape that a team can always reclaim. Immutable.
 *
 * @param shape the guaranteed shape
 * @param count number of simultaneous instances, at least 1
 * @param capabilities capabilities required of the backend servers
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
