package org.teaselwood.policy;

/** What it costs to stop an attempt, in accelerator milliseconds or in slowdown. Stateless. */
final class StopCosts {
    /** A stopped attempt loses this time for its checkpoint, its new start and its wait. */
    static final long RESTART_MILLISECONDS = 15_000;

    /** Each earlier reclaim of a job doubles the cost, up to this many, so that nobody is stopped again and again. */
    private static final int MOST_DOUBLINGS = 10;

    /** Work that may not run twice ends when its checkpoint fails, so it is nearly never chosen. */
    private static final long NOT_REPEATABLE_FACTOR = 100;

    /** Unit of slowdowns. */
    static final long SCALE = 1_000_000;

    private static final long SHORTEST_RUN_MILLISECONDS = 10_000;

    private StopCosts() {}

    /** Cost of stopping now: work since the last checkpoint and a restart, for the whole gang. */
    static long of(TrackedAttempt attempt, long nowMilliseconds) {
        TrackedJob job = attempt.job;
        boolean checkpointable = job.request.template().checkpointable();
        long lost = checkpointable ? 0 : Math.max(0, nowMilliseconds - attempt.startedMilliseconds);
        double cost = (lost + RESTART_MILLISECONDS) * Math.max(1.0, job.size());
        cost *= 1L << Math.min(MOST_DOUBLINGS, job.reclaims);
        cost *= job.request.repeatable() ? 1 : NOT_REPEATABLE_FACTOR;
        return (long) cost;
    }

    /**
     * Delay that stopping now causes, as a share of the typical run time of the work, in parts of {@value #SCALE}.
     *
     * @param otherMilliseconds how long the place is taken by other work
     */
    static long slowdown(TrackedAttempt attempt, long nowMilliseconds, long otherMilliseconds, RunTimes runTimes) {
        TrackedJob job = attempt.job;
        boolean checkpointable = job.request.template().checkpointable();
        long lost = checkpointable ? 0 : Math.max(0, nowMilliseconds - attempt.startedMilliseconds);
        long run =
                Math.max(SHORTEST_RUN_MILLISECONDS, runTimes.quantile(job.request.team(), job.request.template(), 0.5));
        double cost = SCALE * (double) (lost + RESTART_MILLISECONDS + otherMilliseconds) / run;
        cost *= 1L << Math.min(MOST_DOUBLINGS, job.reclaims);
        cost *= job.request.repeatable() ? 1 : NOT_REPEATABLE_FACTOR;
        return (long) cost;
    }
}
