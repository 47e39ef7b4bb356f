package org.teaselwood.model;

/** Caller-visible state of a job. */
public enum JobState {
    QUEUED,
    STARTING,
    RUNNING,
    STOPPING,
    SUCCEEDED,
    FAILED,
    NOT_RUN,
    CANCELLED,
    UNKNOWN;

    /** Returns whether this is a final state, which never changes. */
    public boolean isFinal() {
        return switch (this) {
            case SUCCEEDED, FAILED, NOT_RUN, CANCELLED, UNKNOWN -> true;
            case QUEUED, STARTING, RUNNING, STOPPING -> false;
        };
    }
}
