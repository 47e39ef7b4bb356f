package org.teaselwood.workload.placer;

import org.teaselwood.workload.model.QueueSettings;

/**
 * Decides whether an urgent step may preempt other runs now. Immutable.
 *
 * <p>A step waits for capacity to become free by itself for as long as it can still meet its objective if it then
 * preempts. Plans that lose almost nothing are carried out at once. A step within its team's guarantee preempts
 * whatever the loss; any other step may cause a loss in proportion to its own work, which is larger while the step can
 * still meet its objective: a step that is late anyway would add the victims' delay to its own.
 *
 * <p>Answers loads where urgent jobs beyond the guarantees arrive in bursts on a full deployment. With one limit for
 * all steps, such a job waited past its objective for victims with little progress and then preempted them all the
 * same.
 *
 * @param stopMilliseconds longest time that a stopped run takes to end
 */
record PreemptionLimits(RunTimes runTimes, long stopMilliseconds) {
    /** Lost work, as a share of the step's own work, up to which runs are preempted without delay. */
    private static final double IMMEDIATE_LOSS_RATIO = 0.1;

    /** Maximum lost work, as a share of the step's own work, for a step that can still meet its objective. */
    private static final double PUNCTUAL_LOSS_RATIO = 2.0;

    /** Maximum lost work, as a share of the step's own work, for a step that is late. */
    private static final double LATE_LOSS_RATIO = 0.5;

    /**
     * Longest wait before preemption; a guarantee has to be met within three seconds, of which stopping the victims and
     * a repeated order need the rest.
     */
    private static final long MAXIMUM_PATIENCE_MILLISECONDS = 1_000;

    /** Time for storing the attempt, delivering the orders and reporting the ends of victims. */
    private static final long ORDER_MILLISECONDS = 200;

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    /**
     * Returns whether a plan may be carried out.
     *
     * @param lostWork work that the victims lose, in core-seconds
     * @param waitedMilliseconds time for which the step has been ready
     * @param entitled whether the job is within its team's guarantee
     */
    boolean allows(StepState step, QueueSettings queue, double lostWork, long waitedMilliseconds, boolean entitled) {
        double expected = expectedMilliseconds(step, queue);
        double loss = lostWork / Math.max(1, work(step, expected));
        if (loss <= IMMEDIATE_LOSS_RATIO) {
            return true;
        }
        double slack = (queue.stretch() - 1) * expected
                + queue.objectiveMilliseconds()
                - stopMilliseconds
                - ORDER_MILLISECONDS;
        boolean late = waitedMilliseconds > slack;
        boolean patient = waitedMilliseconds < Math.clamp(slack / 2, 0, MAXIMUM_PATIENCE_MILLISECONDS);
        return !patient && (entitled || loss <= (late ? LATE_LOSS_RATIO : PUNCTUAL_LOSS_RATIO));
    }

    /** Returns the expected run time of the step's tasks in milliseconds. */
    double expectedMilliseconds(StepState step, QueueSettings queue) {
        return runTimes.expectedMilliseconds(queue.name(), step.specification.estimateMilliseconds());
    }

    /** Returns the expected work of the waiting tasks, in core-seconds. */
    private static double work(StepState step, double expectedMilliseconds) {
        return step.tasks.stream().filter(TaskState::isWaiting).count()
                * step.specification.resources().equivalentCores()
                * expectedMilliseconds
                / MILLISECONDS_PER_SECOND;
    }
}
