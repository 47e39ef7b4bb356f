package org.teaselwood.workload.record;

/** State of a job as its caller sees it. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task has ended well. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** The caller cancelled it. */
    CANCELLED;

    /** Whether nothing of the job may start any more. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
