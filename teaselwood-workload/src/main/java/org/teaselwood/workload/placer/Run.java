package org.teaselwood.workload.placer;

import org.teaselwood.workload.model.Resources;

/**
 * Run of one attempt of a task on a backend server. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: a run stays in the table of its server, and so holds resources there, until the server has reported its
 * end, the server has reported a list without it, or the server is lost.
 */
final class Run {
    private static final double MILLISECONDS_PER_SECOND = 1_000.0;
    private static final int COMPLETE_PERCENT = 100;

    final JobState job;
    final StepState step;
    final TaskState task;
    final int attempt;
    final ServerState server;
    final long createdAt;
    RunState state;

    /** Number of start orders sent; a refusal is unambiguous only if there was a single order. */
    int startsSent;

    /** Whether the agent has answered the start order, so that it does not repeat it any more. */
    boolean startAnswered;

    /** Whether the server has listed the run after that answer, which may have come from its next incarnation. */
    boolean listedAfterAnswer;

    /**
     * Number of the agent's call that confirmed the last order, negative while it is unconfirmed; a run that is missing
     * in a list of a later call has ended.
     */
    long confirmedOperation = -1;

    /** Time at which a report first left the last order unconfirmed, in milliseconds; 0 if none did. */
    long unconfirmedSince;

    long startedAt;

    /** Estimated run time before this placer took the run over, in milliseconds; 0 if this placer started it. */
    private long earlierMilliseconds;

    /** Time at which the server confirmed the run to this placer, in milliseconds; negative before. */
    long confirmedAt = -1;

    /** Whether the server is known to have outlived the start of the run. */
    boolean survivedStart;

    /** Whether the server has listed the run as active. */
    boolean listed;

    /**
     * Whether the run was ordered on a former incarnation of the server and is on record only until a stop has made
     * sure that its start does not take effect here.
     */
    private final boolean lateStart;

    /** Whether the run is kept apart from others because servers crashed after earlier starts of its task. */
    private final boolean isolated;

    int percent;
    private final boolean createdUnderThisPlacer;
    private final boolean startedWithoutCheckpoint;

    /**
     * Load in the newest report: tail latency in milliseconds of a latency-sensitive task, processor use in
     * millicores of any other.
     */
    int load;

    /** Ordered pace as a percentage of full speed; -1 if unknown because an earlier placer may have set it. */
    int pace;

    /** Time at which the pace was last ordered, in milliseconds; 0 if never. */
    long pacedAt;

    long progressAt;

    /** Creates a run that is ordered on the server, or was under an earlier placer. */
    Run(JobState job, StepState step, TaskState task, int attempt, ServerState server, RunState state, long now) {
        this(job, step, task, attempt, server, state, false, now);
    }

    private Run(
            JobState job,
            StepState step,
            TaskState task,
            int attempt,
            ServerState server,
            RunState state,
            boolean lateStart,
            long now) {
        this.lateStart = lateStart;
        this.job = job;
        this.step = step;
        this.task = task;
        this.attempt = attempt;
        this.server = server;
        this.state = state;
        this.createdAt = now;
        this.startedAt = now;
        this.progressAt = now;
        this.createdUnderThisPlacer = state != RunState.RECOVERED;
        this.isolated = task.crashes.hasSuspiciousCrash() || step.heldAfterCrash && task.crashes.isSuspected();
        this.startedWithoutCheckpoint = step.checkpointFor(task).isEmpty();
        this.pace = state == RunState.RECOVERED ? -1 : Pacing.FULL_PERCENT;
    }

    /** Creates the run that stands for a late start on the next incarnation of the server that it was ordered on. */
    static Run lateStart(JobState job, StepState step, TaskState task, int attempt, ServerState successor, long now) {
        Run late = new Run(job, step, task, attempt, successor, RunState.STOPPING, true, now);
        late.startsSent = 1;
        return late;
    }

    /** Creates the run that stands for a late start of this run on the next incarnation of its server. */
    Run lateStartOn(ServerState successor, long now) {
        Run late = lateStart(job, step, task, attempt, successor, now);
        late.startAnswered = startAnswered;
        return late;
    }

    String key() {
        return key(task.name.toString(), attempt);
    }

    static String key(String task, int attempt) {
        return task + "#" + attempt;
    }

    /** Returns whether an order was sent and its answer has not arrived. */
    boolean awaitsConfirmation() {
        return state == RunState.ORDERED || state == RunState.STOPPING && confirmedOperation < 0;
    }

    /** Records that the server has the run, as of the given call of its agent. */
    void confirm(long now, long operation) {
        state = RunState.RUNNING;
        confirmedAt = now;
        progressAt = now;
        confirmedOperation = operation;
    }

    boolean isConfirmed() {
        return confirmedAt >= 0;
    }

    /** Returns whether an earlier placer created the run, so that the time of its start is unknown. */
    boolean isTakenOver() {
        return !createdUnderThisPlacer;
    }

    /** Returns whether an order to start the run may have reached the server. */
    boolean mayHaveStarted() {
        return startsSent > 0 || isTakenOver();
    }

    /**
     * Returns whether a crash of the server may have been caused by the run. A late start that the server has not
     * listed was ordered on a former incarnation, whose crash is counted already.
     */
    boolean mayHaveCrashedServer() {
        return mayHaveStarted() && !survivedStart && (listed || !lateStart);
    }

    /** Returns whether the run stands for a late start of a run on a former incarnation of the server. */
    boolean isLateStart() {
        return lateStart;
    }

    /**
     * Returns whether the next incarnation of the server may have the run if it has the same identifier: its agent may
     * still repeat the start order, or the answer may have come from the next incarnation. An answer that arrived
     * before an incarnation was known comes from that one or an earlier one, and not from those that follow it.
     */
    boolean mayRunOnSuccessor() {
        return mayHaveStarted() && !listedAfterAnswer && !(lateStart && startAnswered);
    }

    /** Returns whether other tasks should stay off the server because this run may crash it. */
    boolean needsIsolation() {
        return isolated && !survivedStart;
    }

    /** Returns whether a long-running task has completed its start-up. */
    boolean isReady() {
        return state == RunState.RUNNING && isComplete();
    }

    boolean isComplete() {
        return percent >= COMPLETE_PERCENT;
    }

    Resources reserved() {
        return step.specification.reserved();
    }

    /** Returns whether the run began without a checkpoint and under this placer, so that its age is its run time. */
    boolean ranWhole() {
        return createdUnderThisPlacer && startedWithoutCheckpoint;
    }

    /**
     * Estimates from the reported progress for how long the run was active under earlier placers, whose start times are
     * not stored. Without the estimate every run would appear to have just started, and preemption would discard the
     * most advanced ones.
     */
    void estimateEarlierWork() {
        earlierMilliseconds = step.specification.estimateMilliseconds() * percent / COMPLETE_PERCENT;
    }

    /** Returns the work that a stop would lose, in core-seconds; an accelerator counts as eight cores. */
    double lossIfStopped(long now) {
        double cores = step.specification.resources().equivalentCores();
        double seconds = (earlierMilliseconds + now - startedAt) / MILLISECONDS_PER_SECOND;
        return cores * (step.specification.checkpointing() ? Math.min(seconds, 1) : seconds);
    }
}
