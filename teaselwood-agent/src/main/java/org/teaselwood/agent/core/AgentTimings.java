package org.teaselwood.agent.core;

/** Times and limits of the agent core. Times are in milliseconds. */
public final class AgentTimings {
    /** Between two heartbeats to the entry. */
    public static final long HEARTBEAT_MILLISECONDS = 2_000;

    /** An entry that sends nothing for this time is left for the next one. */
    public static final long ENTRY_SILENCE_MILLISECONDS = 6_000;

    /** Lease of a task at the worker. */
    public static final long LEASE_MILLISECONDS = 15_000;

    /** Between two renewals of the leases. */
    public static final long RENEW_MILLISECONDS = 5_000;

    /** A part of a gang that spans servers stops when RenewGang is missing for this time. */
    public static final long GANG_LEASE_MILLISECONDS = 12_000;

    /** Grace for the checkpoint of a part that stops because its gang was not renewed. */
    public static final long GANG_STOP_GRACE_MILLISECONDS = 3_000;

    /** A hold granted before the server was closed is released after this time, so that nothing starts late. */
    public static final long CLOSED_HOLD_MILLISECONDS = 5_000;

    /** A fenced attempt is refused for this time. */
    public static final long FENCE_MILLISECONDS = 600_000;

    /** A forgotten attempt is refused for this time; its final record is stored, so only delayed repeats matter. */
    public static final long FORGOTTEN_FENCE_MILLISECONDS = 60_000;

    /** A call to the worker without a reply counts as unavailable after this time. */
    public static final long WORKER_CALL_MILLISECONDS = 10_000;

    /** Between two tries of a call that the worker did not answer. */
    public static final long WORKER_RETRY_MILLISECONDS = 1_000;

    /** Time beyond the lapsed leases after which the tasks of an unreachable worker count as lost. */
    public static final long LOST_WORKER_MILLISECONDS = 5_000;

    /** Longest wait of a listing while tasks run; bounds the lag of progress and usage. */
    public static final long LIST_WAIT_MILLISECONDS = 2_000;

    /** Between two listings while no task runs, to know whether the worker can be reached. */
    public static final long IDLE_LIST_MILLISECONDS = 10_000;

    /** Between two listings at least, so that a burst of short tasks does not turn into a listing for each. */
    public static final long MINIMUM_LIST_MILLISECONDS = 20;

    /** Between two listings when the first brought no change, in case the worker does not wait for one. */
    public static final long UNCHANGED_LIST_MILLISECONDS = 100;

    /** Between two reports of progress or usage of one part. */
    public static final long PROGRESS_MILLISECONDS = 10_000;

    /** Between two checkpoints of one part that can take them. */
    public static final long CHECKPOINT_MILLISECONDS = 60_000;

    /** An answer that is not forgotten is sent again after this time, then after twice that, and so on. */
    public static final long ANSWER_REPEAT_MILLISECONDS = 15_000;

    /** Longest time between two sendings of an answer on one connection. */
    public static final long ANSWER_REPEAT_MAXIMUM_MILLISECONDS = 300_000;

    /** A leaving agent waits this long for ForgetAttempt of a part that left no answer. */
    public static final long LEAVING_FORGET_MILLISECONDS = 60_000;

    /** Most parts held or remembered; holds beyond are refused. AgentHello reports them all in one frame of 1 MiB. */
    public static final int MAXIMUM_PARTS = 256;

    /** Fences at which new holds are refused; twice as many is the limit of all fences. */
    public static final int MAXIMUM_FENCES = 2_048;

    /** Answers kept in memory, in bytes; others stay at the worker alone and are fetched again when needed. */
    public static final int MAXIMUM_ANSWER_BYTES = 1024 * 1024;

    private AgentTimings() {}
}
