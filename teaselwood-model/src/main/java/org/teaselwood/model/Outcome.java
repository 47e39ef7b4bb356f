package org.teaselwood.model;

/** What a caller is told about whether its request ran. */
public enum Outcome {
    /** The request has not finished; nothing is said yet. */
    PENDING,
    SUCCEEDED,
    FAILED,
    /** The request never ran and never will under this submission. */
    NOT_RUN,
    CANCELLED,
    /** The request may have run. */
    UNKNOWN
}
