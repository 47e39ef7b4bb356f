package org.teaselwood.protocol.worker;

import java.util.List;
import org.teaselwood.protocol.message.TaskSpecification;

/** Calls of an agent to its worker. Every call is idempotent. */
public sealed interface WorkerCall {
    /**
     * Makes the caller the worker's only agent: runs of other incarnations are refused from now on, so that a delayed
     * request of an earlier agent process starts nothing. Renews the leases of all running tasks. Answered by Adopted.
     */
    record Adopt(String incarnation, long leaseMilliseconds) implements WorkerCall {}

    /**
     * Lists all tasks. Answered by Tasks, as soon as the version differs from the given one and at the latest after
     * the wait.
     *
     * @param knownVersion version of the last reply, 0 for none
     * @param waitMilliseconds longest time to wait for a change, 0 to answer at once
     */
    record ListTasks(long knownVersion, long waitMilliseconds) implements WorkerCall {}

    /**
     * Runs a task under a lease. A task that the worker knows is not run again, and one that it was told to forget is
     * refused for ten minutes. Answered by Ran.
     *
     * @param incarnation of the agent process, as in Adopt
     * @param workerIncarnation of the worker, as Adopt was answered; another incarnation of the worker refuses the
     *     call, because its predecessor may have carried it out
     * @param firstAccelerator first of the adjacent accelerators, -1 for none
     * @param leaseMilliseconds the worker stops the task when the lease is not renewed in this time
     */
    record Run(
            String incarnation,
            long workerIncarnation,
            TaskIdentifier task,
            TaskSpecification specification,
            int firstAccelerator,
            long leaseMilliseconds)
            implements WorkerCall {}

    /** Renews the leases of running tasks; others are skipped. Answered by Done. */
    record Renew(List<TaskIdentifier> tasks, long leaseMilliseconds) implements WorkerCall {}

    /** Takes a checkpoint of a running task, which goes on. Answered by Done. */
    record Checkpoint(TaskIdentifier task) implements WorkerCall {}

    /** Limits a task to the resources that it declared. Answered by Done. */
    record Throttle(TaskIdentifier task) implements WorkerCall {}

    /**
     * Stops a task, after a checkpoint when it can take one within the grace. A task that the worker does not know is
     * recorded as stopped and never runs. Answered by Done, before the task has stopped.
     */
    record Stop(TaskIdentifier task, long graceMilliseconds) implements WorkerCall {}

    /** Fetches the answer of a succeeded task. Answered by AnswerContent. */
    record FetchAnswer(TaskIdentifier task) implements WorkerCall {}

    /** Drops tasks and their answers; those that run are stopped at once. Their runs are refused. Answered by Done. */
    record Forget(List<TaskIdentifier> tasks) implements WorkerCall {}

    /** Path of the call over HTTP. */
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
