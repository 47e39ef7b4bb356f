package org.teaselwood.model;

import java.util.List;

/**
 * A team and what it was promised. Immutable.
 *
 * @param name unique name
 * @param guarantees shapes that the team can always reclaim
 * @param weight share of idle capacity lent to the team, relative to others, at least 1
 * @param acceleratorQuota most accelerators that the team holds at once, borrowed ones included
 * @param queueLimit most jobs of the team that wait at once
 */
public record Team(String name, List<Guarantee> guarantees, int weight, int acceleratorQuota, int queueLimit) {
    /** Copies the list. */
    public Team {
        guarantees = List.copyOf(guarantees);
    }
}
