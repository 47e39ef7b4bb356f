package org.teaselwood.model;

/** Phase of one part of an attempt at its agent. */
public enum PartPhase {
    /** Resources are reserved until the hold expires. */
    HELD,
    /** Resources are reserved until {@code Start} or the commit timeout. */
    COMMITTED,
    /** The worker was asked to run the task; it may or may not run yet. */
    STARTED,
    /** The worker runs the task. */
    RUNNING,
    /** A checkpoint and stop are under way. */
    STOPPING,
    /** Finished with a whole answer, which the agent keeps until told to forget it. */
    SUCCEEDED,
    /** The task ran and failed. */
    FAILED,
    /** Stopped on request after it had started. */
    STOPPED,
    /** The worker lost the task, or its lease lapsed. */
    LOST,
    /** Released before it started; the attempt is fenced and never starts here. */
    RELEASED;

    /** Whether the part holds resources of its backend server. */
    public boolean holdsResources() {
        return ordinal() <= STOPPING.ordinal();
    }

    /** Whether the task may have run. */
    public boolean mayHaveRun() {
        return this != HELD && this != COMMITTED && this != RELEASED;
    }
}
