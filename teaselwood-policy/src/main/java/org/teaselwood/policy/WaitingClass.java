package org.teaselwood.policy;

import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.Template;

/**
 * Waiting jobs of one team that differ only in their time of arrival; the oldest goes first. Mutable, confined to its
 * scheduler's thread. Scheduling works on classes, so that a queue of ten thousand equal jobs costs as much as one job.
 */
final class WaitingClass {
    final Key key;
    /** Order of creation, which breaks ties. */
    final int number;
    /** Shared by all classes with the same demand. */
    final DemandState demand;

    final TreeMap<Long, TrackedJob> jobs = new TreeMap<>();
    /** Whether no unit of the team had room at the last try; cleared when a unit of the team changes. */
    boolean unitsFull;
    /** Median run time in milliseconds at the last update. */
    long typicalRunMilliseconds;
    /** Run time in milliseconds that nine in ten jobs stay under, at the last update. */
    long longRunMilliseconds;

    WaitingClass(Key key, int number, DemandState demand) {
        this.key = key;
        this.number = number;
        this.demand = demand;
    }

    /** Since when the jobs cannot run at all, -1 while they could. */
    long impossibleSinceMilliseconds = -1;

    boolean mayBorrow() {
        return key.repeatable || key.template.checkpointable();
    }

    TrackedJob head() {
        return jobs.firstEntry().getValue();
    }

    /** What all jobs of a class share. */
    record Key(String team, Template template, boolean repeatable, boolean urgent, Set<String> failedServers) {}
}
