package org.teaselwood.policy;

/** Costs of preempting an attempt, in accelerator milliseconds or as a slowdown. Stateless. */
final class PreemptionCosts {
    /** Time that a preempted attempt loses for its checkpoint, its restart and its wait. */
    static final long RESTART_MILLISECONDS = 15_000;

    /**
     * Maximum number of doublings of the cost. Each earlier preemption of a job doubles it, so that no job is preempted
     * again and again.
     */
    private static final int MAXIMUM_DOUBLINGS = 10;

    /**
     * Cost factor of work that is not idempotent, which ends if its checkpoint fails and is therefore rarely selected.
     */
    private static final long NON_IDEMPOTENT_FACTOR = 100;

    /** Fixed-point scale of slowdowns: this value is a slowdown of 1. */
    static final long SCALE = 1_000_000;

    private static final long MINIMUM_RUN_TIME_MILLISECONDS = 10_000;

    private PreemptionCosts() {}

    /**
     * Returns the cost of preempting an attempt now, in accelerator milliseconds: the work since the last checkpoint
     * and a restart, for the whole gang.
     */
    static long of(TrackedAttempt attempt, long nowMilliseconds) {
        TrackedJob job = attempt.job;
        boolean checkpointable = job.request.template().checkpointable();
        long lost = checkpointable ? 0 : Math.max(0, nowMilliseconds - attempt.startedMilliseconds);
        double cost = (lost + RESTART_MILLISECONDS) * Math.max(1.0, job.size());
        cost *= 1L << Math.min(MAXIMUM_DOUBLINGS, job.preemptions);
        cost *= job.request.idempotent() ? 1 : NON_IDEMPOTENT_FACTOR;
        return (long) cost;
    }

    /**
     * Returns the delay caused by preempting an attempt now, relative to the typical run time of the work and
     * multiplied by {@value #SCALE}.
     *
     * @param otherMilliseconds time for which other work takes the resources
     */
    static long slowdown(TrackedAttempt attempt, long nowMilliseconds, long otherMilliseconds, RunTimes runTimes) {
        TrackedJob job = attempt.job;
        boolean checkpointable = job.request.template().checkpointable();
        long lost = checkpointable ? 0 : Math.max(0, nowMilliseconds - attempt.startedMilliseconds);
        long typical = job.waitingClass != null
                ? job.waitingClass.typicalRunMilliseconds
                : runTimes.quantile(job.request.team(), job.request.template(), 0.5);
        long run = Math.max(MINIMUM_RUN_TIME_MILLISECONDS, typical);
        double cost = SCALE * (double) (lost + RESTART_MILLISECONDS + otherMilliseconds) / run;
        cost *= 1L << Math.min(MAXIMUM_DOUBLINGS, job.preemptions);
        cost *= job.request.idempotent() ? 1 : NON_IDEMPOTENT_FACTOR;
        return (long) cost;
    }
}
