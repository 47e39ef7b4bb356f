package org.teaselwood.model;

/** Outcome of a request, as reported to its caller. */
public enum Outcome {
    /** The request has not finished, so that its outcome is still open. */
    PENDING,
    SUCCEEDED,
    FAILED,
    /** The request did not run and never will under this submission. */
    NOT_RUN,
    CANCELLED,
    /** The outcome is unknown: the request may have run. */
    UNKNOWN
}
