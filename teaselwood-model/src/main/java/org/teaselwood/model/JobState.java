package org.teaselwood.model;

/** State of a job as its caller sees it. */
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

    /** Whether the state never changes again. */
    public boolean isFinal() {
        return switch (this) {
            case SUCCEEDED, FAILED, NOT_RUN, CANCELLED, UNKNOWN -> true;
            case QUEUED, STARTING, RUNNING, STOPPING -> false;
        };
    }
}
