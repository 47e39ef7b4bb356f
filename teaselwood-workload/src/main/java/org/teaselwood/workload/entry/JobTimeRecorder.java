package org.teaselwood.workload.entry;

/** Recorder of job durations for metrics. Called on the placer's duty thread. */
@FunctionalInterface
public interface JobTimeRecorder {
    /** Records the wait time, the completion time or the time of an unsuccessful end of a job, in milliseconds. */
    void recordTime(String name, String team, String queue, long milliseconds);
}
