package org.teaselwood.model;

import java.util.List;

/**
 * Team with its guarantees and limits. Immutable.
 *
 * @param name unique name
 * @param guarantees shapes that the team can always reclaim
 * @param weight relative weight of the team when idle capacity is lent, at least 1
 * @param acceleratorQuota maximum number of accelerators that the team holds at a time, including borrowed ones
 * @param queueLimit maximum number of waiting jobs of the team
 */
public record Team(String name, List<Guarantee> guarantees, int weight, int acceleratorQuota, int queueLimit) {
    /** Copies the list. */
    public Team {
        guarantees = List.copyOf(guarantees);
    }
}
