package org.teaselwood.workload.record;

/** State of a job as reported to its caller. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task has succeeded. */
    COMPLETED,
    /** A task has reached the maximum number of failed runs of its queue. */
    FAILED,
    /** The caller has cancelled the job. */
    CANCELLED;

    /** Returns whether no task of the job may start any more. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
