package org.teaselwood.agent.core;

/** Timeouts, intervals and limits of the agent core. Times are in milliseconds. Immutable. */
public final class AgentTimings {
    /** Interval between heartbeats to the entry. */
    public static final long HEARTBEAT_INTERVAL_MILLISECONDS = 2_000;

    /** Time since the last message of an entry after which the agent connects to the next one. */
    public static final long ENTRY_TIMEOUT_MILLISECONDS = 6_000;

    /** Duration of the lease of a task at the worker. */
    public static final long LEASE_MILLISECONDS = 15_000;

    /** Interval between renewals of the leases. */
    public static final long LEASE_RENEWAL_INTERVAL_MILLISECONDS = 5_000;

    /** Time without RenewGang after which a part of a gang that spans servers is stopped. */
    public static final long GANG_LEASE_MILLISECONDS = 12_000;

    /** Grace period for the checkpoint of a part that is stopped because its gang lease expired. */
    public static final long GANG_STOP_GRACE_MILLISECONDS = 3_000;

    /** Time after the server stops accepting work at which earlier holds are released, so that no task starts late. */
    public static final long HOLD_RELEASE_DELAY_MILLISECONDS = 5_000;

    /** Duration of the fence of a released attempt or a refused part. */
    public static final long FENCE_RETENTION_MILLISECONDS = 600_000;

    /** Duration of the fence of a forgotten attempt, against delayed duplicates only, as its final record is stored. */
    public static final long FORGOTTEN_FENCE_RETENTION_MILLISECONDS = 60_000;

    /** Timeout of a call to the worker, after which the call counts as unavailable. */
    public static final long WORKER_CALL_TIMEOUT_MILLISECONDS = 10_000;

    /** Retry delay of a call to which the worker did not reply. */
    public static final long WORKER_RETRY_DELAY_MILLISECONDS = 1_000;

    /** Time after the expiry of the leases at which the tasks of an unreachable worker count as lost. */
    public static final long LOST_WORKER_DELAY_MILLISECONDS = 5_000;

    /** Maximum wait of a listing while tasks run; bounds the delay of progress and usage reports. */
    public static final long MAXIMUM_LIST_WAIT_MILLISECONDS = 2_000;

    /** Interval between listings while no task runs; detects an unreachable worker. */
    public static final long IDLE_LIST_INTERVAL_MILLISECONDS = 10_000;

    /** Minimum interval between listings, so that a burst of short tasks does not cause one listing per task. */
    public static final long MINIMUM_LIST_INTERVAL_MILLISECONDS = 20;

    /** Interval between listings after one without a change, in case the worker replies without waiting. */
    public static final long UNCHANGED_LIST_INTERVAL_MILLISECONDS = 100;

    /** Minimum interval between reports of progress or usage of one part. */
    public static final long PROGRESS_REPORT_INTERVAL_MILLISECONDS = 10_000;

    /** Interval between checkpoints of one checkpointable part. */
    public static final long CHECKPOINT_INTERVAL_MILLISECONDS = 60_000;

    /** Initial delay before an answer that is not forgotten is sent again; doubles with each time it is sent. */
    public static final long ANSWER_RESEND_DELAY_MILLISECONDS = 15_000;

    /** Maximum delay before an answer is sent again on one connection. */
    public static final long MAXIMUM_ANSWER_RESEND_DELAY_MILLISECONDS = 300_000;

    /** Time for which a graceful shutdown waits for ForgetAttempt of a finished part without an answer. */
    public static final long SHUTDOWN_FORGET_TIMEOUT_MILLISECONDS = 60_000;

    /** Maximum number of parts; further holds are refused. AgentHello reports all parts in one frame of 1 MiB. */
    public static final int MAXIMUM_PARTS = 256;

    /** Number of fences from which new holds are refused; no fences are added beyond twice this number. */
    public static final int MAXIMUM_FENCES = 2_048;

    /** Maximum size of all cached answers, in bytes; others are fetched from the worker whenever they are sent. */
    public static final int MAXIMUM_CACHED_ANSWER_BYTES = 1024 * 1024;

    private AgentTimings() {}
}
