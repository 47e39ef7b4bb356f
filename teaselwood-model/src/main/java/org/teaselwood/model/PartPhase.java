package org.teaselwood.model;

/** Phase of one part of an attempt, as tracked by its agent. */
public enum PartPhase {
    /** Resources are reserved until the hold expires. */
    HELD,
    /** Resources are reserved until {@code Start} or the commit timeout. */
    COMMITTED,
    /** The worker was asked to run the task but has not confirmed that it runs. */
    STARTED,
    /** The worker has confirmed that the task runs. */
    RUNNING,
    /** The task is being stopped, possibly after a checkpoint. */
    STOPPING,
    /** Finished with a complete answer, which the agent retains until {@code ForgetAttempt}. */
    SUCCEEDED,
    /** The task ran and failed. */
    FAILED,
    /** Stopped on request after it had started. */
    STOPPED,
    /** The worker lost the task, or the lease of the task expired. */
    LOST,
    /** Released before it started; the attempt is fenced and never starts on this backend server. */
    RELEASED;

    /** Returns whether the part holds resources of its backend server. */
    public boolean holdsResources() {
        return ordinal() <= STOPPING.ordinal();
    }

    /** Returns whether the task may have run. */
    public boolean mayHaveRun() {
        return this != HELD && this != COMMITTED && this != RELEASED;
    }
}
