package org.teaselwood.workload.placer;

import org.teaselwood.workload.model.Resources;

/**
 * One attempt of a task on one backend server. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: a run stays in its server's table, and so counts against the server's room, until its end was listed,
 * or the server was seen without it, or everything on the server has surely ended.
 */
final class Run {
    private static final double MILLI = 1_000.0;
    private static final int COMPLETE_PERCENT = 100;

    final JobState job;
    final StepState step;
    final TaskState task;
    final int attempt;
    final ServerState server;
    final long createdAt;
    RunState state;

    /** How often its start was sent; only the refusal of an order that was sent once is certain. */
    int startsSent;

    /** Number of the server call after which a missing run has ended; negative while the order is not answered. */
    long confirmedOperation = -1;

    long startedAt;
    int percent;

    /** Newest load figure of the report. */
    int load;

    /** Ordered share of its speed in percent; unknown, as -1, when a former placer may have set it. */
    int pace;

    /** When the pace was last ordered, in milliseconds; 0 for never. */
    long pacedAt;

    long progressAt;

    Run(JobState job, StepState step, TaskState task, int attempt, ServerState server, RunState state, long now) {
        this.job = job;
        this.step = step;
        this.task = task;
        this.attempt = attempt;
        this.server = server;
        this.state = state;
        this.createdAt = now;
        this.startedAt = now;
        this.progressAt = now;
        this.pace = state == RunState.RECOVERED ? -1 : Pacing.FULL_PERCENT;
    }

    String key() {
        return key(task.name.toString(), attempt);
    }

    static String key(String task, int attempt) {
        return task + "#" + attempt;
    }

    /** Whether a task that runs until it is cancelled is past its start. */
    boolean atWork() {
        return state == RunState.RUNNING && isComplete();
    }

    boolean isComplete() {
        return percent >= COMPLETE_PERCENT;
    }

    Resources reserved() {
        return step.specification.reserved();
    }

    /** Work that a stop would throw away, in core-seconds; an accelerator counts as eight cores. */
    double lossIfStopped(long now) {
        double cores = step.specification.resources().equivalentCores();
        double seconds = (now - startedAt) / MILLI;
        return cores * (step.specification.checkpointing() ? Math.min(seconds, 1) : seconds);
    }
}
