package org.teaselwood.protocol.worker;

import java.util.List;
import org.teaselwood.protocol.message.TaskSpecification;

/** Calls from an agent to its worker. Every call is idempotent. */
public sealed interface WorkerCall {
    /**
     * Makes the caller the only agent of the worker: Run calls of other incarnations are rejected from then on, so that
     * a delayed call of an earlier agent process cannot start a task. Renews the leases of all running tasks. Answered
     * by Adopted.
     */
    record Adopt(String incarnation, long leaseMilliseconds) implements WorkerCall {}

    /**
     * Lists all tasks (long poll). Answered by Tasks as soon as the version differs from the known one, at the latest
     * after the wait.
     *
     * @param knownVersion version of the last reply, 0 for none
     * @param waitMilliseconds maximum time to wait for a change, 0 to reply immediately
     */
    record ListTasks(long knownVersion, long waitMilliseconds) implements WorkerCall {}

    /**
     * Runs a task under a lease. A task that the worker already knows is not run again, and a forgotten task is
     * rejected for ten minutes. Answered by Ran.
     *
     * @param incarnation incarnation of the agent, as in Adopt
     * @param workerIncarnation incarnation of the worker, from the reply to Adopt; another incarnation rejects the
     *     call, because the earlier one may have executed it
     * @param firstAccelerator index of the first of the adjacent accelerators, -1 for none
     * @param leaseMilliseconds duration of the lease; the worker stops the task if the lease is not renewed in
     *     this time
     */
    record Run(
            String incarnation,
            long workerIncarnation,
            TaskIdentifier task,
            TaskSpecification specification,
            int firstAccelerator,
            long leaseMilliseconds)
            implements WorkerCall {}

    /** Renews the leases of the listed tasks that are running; the others are ignored. Answered by Done. */
    record Renew(List<TaskIdentifier> tasks, long leaseMilliseconds) implements WorkerCall {}

    /** Takes a checkpoint of a running task without stopping it. Answered by Done. */
    record Checkpoint(TaskIdentifier task) implements WorkerCall {}

    /** Limits a task to the resources that it declared. Answered by Done. */
    record Throttle(TaskIdentifier task) implements WorkerCall {}

    /**
     * Stops a task, after a checkpoint if one can be taken within the grace period. A task that the worker does not
     * know is recorded as stopped and never runs. Answered by Done, before the task has stopped.
     */
    record Stop(TaskIdentifier task, long graceMilliseconds) implements WorkerCall {}

    /** Fetches the answer of a succeeded task. Answered by AnswerContent. */
    record FetchAnswer(TaskIdentifier task) implements WorkerCall {}

    /**
     * Discards tasks and their answers; running ones are stopped immediately. Later Run calls for them are rejected.
     * Answered by Done.
     */
    record Forget(List<TaskIdentifier> tasks) implements WorkerCall {}

    /** Returns the HTTP path of the call. */
    default String path() {
        return "/v1/"
                + switch (this) {
                    case Adopt ignored -> "adopt";
                    case ListTasks ignored -> "list";
                    case Run ignored -> "run";
                    case Renew ignored -> "renew";
                    case Checkpoint ignored -> "checkpoint";
                    case Throttle ignored -> "throttle";
                    case Stop ignored -> "stop";
                    case FetchAnswer ignored -> "answer";
                    case Forget ignored -> "forget";
                };
    }
}
