package org.teaselwood.policy;

import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.Template;

/**
 * Waiting jobs of one team that differ only in their submission; the oldest goes first. The scheduler works on classes,
 * so that a queue of ten thousand equal jobs costs as much as one job. Mutable, confined to its scheduler's thread.
 */
final class WaitingClass {
    final Key key;
    /** Number in order of creation, which breaks ties. */
    final int number;
    /** Search outcome, shared by all classes with the same demand. */
    final DemandState demand;

    final TreeMap<Long, TrackedJob> jobs = new TreeMap<>();
    /** Whether no unit of the team could run a job of the class at the last try; cleared when a unit changes. */
    boolean unitsFull;
    /** Median run time in milliseconds at the last update. */
    long typicalRunMilliseconds;
    /** 90th percentile of the run time in milliseconds at the last update. */
    long longRunMilliseconds;

    WaitingClass(Key key, int number, DemandState demand) {
        this.key = key;
        this.number = number;
        this.demand = demand;
    }

    /** Time since which no set of known servers could run the jobs, -1 if one can. */
    long impossibleSinceMilliseconds = -1;

    boolean mayBorrow() {
        return key.idempotent || key.template.checkpointable();
    }

    TrackedJob head() {
        return jobs.firstEntry().getValue();
    }

    /** Properties shared by all jobs of a class. */
    record Key(String team, Template template, boolean idempotent, boolean urgent, Set<String> failedServers) {}
}
