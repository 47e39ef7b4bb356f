package org.teaselwood.policy;

/** How an attempt ended. */
public enum AttemptResult {
    /** All parts finished with their answers. */
    SUCCEEDED,
    /** At least one part ran and failed. */
    FAILED,
    /** An agent refused its hold, or did not answer; nothing ran. */
    REFUSED,
    /** Stopped on request of the policy. */
    STOPPED,
    /** A part was lost with its backend server or worker. */
    LOST,
    /** Cancelled by the caller. */
    CANCELLED
}
