package org.teaselwood.policy;

/** Result of an attempt. */
public enum AttemptResult {
    /** All parts finished and their answers are complete. */
    SUCCEEDED,
    /** At least one part ran and failed. */
    FAILED,
    /** An agent refused the hold request or did not respond; nothing was run. */
    REFUSED,
    /** Stopped by the policy. */
    STOPPED,
    /** A part was lost with its backend server or worker. */
    LOST,
    /** Cancelled by the caller. */
    CANCELLED
}
