package org.teaselwood.workload.entry;

/** Told the times of jobs, for metrics. Called on the placer's duty thread. */
@FunctionalInterface
public interface JobTimes {
    /** A time of a job was measured, in milliseconds: wait, completion, or end without success. */
    void measured(String name, String team, String queue, long milliseconds);
}
