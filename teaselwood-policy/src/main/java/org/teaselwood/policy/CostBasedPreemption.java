package org.teaselwood.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Preempts borrowed work for other waiting work when that costs less than waiting. Confined to its scheduler's thread.
 *
 * <p>A waiting job may preempt checkpointable borrowed work once the accelerator time that it has waited reaches the
 * cost of stopping that work. Before that point waiting is cheaper, after it preemption is, so the total cost is at
 * most twice that of the better choice. In addition, a victim must be expected to run longer than the job or be much
 * smaller than it, unless the job is overdue. Each preemption of a job doubles the cost of the next, so that jobs
 * cannot preempt each other in turn indefinitely.
 */
final class CostBasedPreemption {
    /** Maximum number of classes considered per tick. */
    private static final int MAXIMUM_CLASSES_PER_TICK = 4;

    /** Minimum ratio of the expected remaining run time of a victim to the typical run time of the waiting job. */
    private static final double MINIMUM_REMAINING_TIME_RATIO = 2;

    /** Minimum wait of a job before anything is preempted for it. */
    private static final long MINIMUM_WAIT_MILLISECONDS = 2_000;

    private static final long MINIMUM_RUN_TIME_MILLISECONDS = 10_000;

    /**
     * Maximum number of waiting jobs of one class whose gains are added up, because the resources of one victim can
     * serve several of them.
     */
    private static final int MAXIMUM_JOBS_PER_GAIN = 8;

    private final PolicyState state;
    /** Expected remaining run times of victims in milliseconds, cached for one tick. */
    private final Map<TrackedAttempt, Long> remaining = new HashMap<>();

    CostBasedPreemption(PolicyState state) {
        this.state = state;
    }

    /** Considers preemption for the highest-ranked classes whose demand does not fit. */
    void run() {
        remaining.clear();
        List<WaitingClass> classes = state.queue.classes().stream()
                .filter(waitingClass -> waitingClass.mayBorrow()
                        && (waitingClass.demand.blocked || waitingClass.demand.blockedOutsideReservations))
                .sorted(Comparator.<WaitingClass>comparingDouble(
                                waitingClass -> -state.queue.rank(waitingClass, state.nowMilliseconds))
                        .thenComparingInt(waitingClass -> waitingClass.number))
                .limit(MAXIMUM_CLASSES_PER_TICK)
                .toList();
        classes.forEach(waitingClass -> preemptFor(waitingClass.head()));
    }

    private void preemptFor(TrackedJob job) {
        long waited = state.nowMilliseconds - job.queuedMilliseconds;
        long run = Math.max(MINIMUM_RUN_TIME_MILLISECONDS, job.waitingClass.typicalRunMilliseconds);
        boolean isShort = !Reservations.isLarge(job.shape());
        int jobCount = Math.min(MAXIMUM_JOBS_PER_GAIN, job.waitingClass.jobs.size());
        long gain = isShort
                ? (long) ((double) PreemptionCosts.SCALE * waited * jobCount / run)
                : (long) (waited * Math.max(1.0, job.size()));
        if (waited < MINIMUM_WAIT_MILLISECONDS
                || !state.queue.withinQuota(job.request.team(), job.accelerators())
                || job.request.deadlineMilliseconds() < state.nowMilliseconds) {
            return;
        }
        boolean overdue = state.nowMilliseconds - job.request.submittedMilliseconds() >= FairQueue.OVERDUE_MILLISECONDS;
        VictimSearch.Result found = VictimSearch.cheapest(
                state.cluster.cells(job.shape().adjacency()).values(),
                job.shape(),
                usableResources(job),
                victim -> mayPreempt(job, victim, overdue),
                isShort
                        ? victim -> PreemptionCosts.slowdown(victim, state.nowMilliseconds, run, state.runTimes)
                        : victim -> PreemptionCosts.of(victim, state.nowMilliseconds),
                overdue ? Long.MAX_VALUE : gain);
        if (found != null) {
            state.claim(job, found, null, "job " + job.request.job() + " has waited longer than the preemption costs");
        }
    }

    private boolean mayPreempt(TrackedJob job, TrackedAttempt victim, boolean overdue) {
        if (victim.job.unit != null || !victim.started || victim.job.preemptions > 0 && victim.job == job) {
            return false;
        }
        if (overdue) {
            return victim.job.request.submittedMilliseconds() > job.request.submittedMilliseconds();
        }
        if (!victim.job.request.template().checkpointable() || isSameWork(job, victim)) {
            return false;
        }
        return remaining.computeIfAbsent(victim, this::expectedRemaining)
                        >= MINIMUM_REMAINING_TIME_RATIO * job.waitingClass.typicalRunMilliseconds
                || job.accelerators() >= 4 * Math.max(1, victim.job.accelerators());
    }

    /**
     * Returns whether a victim runs the same template for the same team. The expected remaining time of long-running
     * work grows with the time it has already run, so equal long jobs would preempt each other in turn and none of them
     * would make progress.
     */
    private static boolean isSameWork(TrackedJob job, TrackedAttempt victim) {
        return job.request.team().equals(victim.job.request.team())
                && job.request
                        .template()
                        .name()
                        .equals(victim.job.request.template().name());
    }

    private long expectedRemaining(TrackedAttempt victim) {
        return state.runTimes.remaining(
                victim.job.request.team(),
                victim.job.request.template(),
                victim.job.savedMilliseconds + state.nowMilliseconds - victim.startedMilliseconds,
                0.5);
    }

    private VictimSearch.UsableResources usableResources(TrackedJob job) {
        return new VictimSearch.UsableResources() {
            @Override
            public long accelerators(ServerState server) {
                return server.allAccelerators();
            }

            @Override
            public int maximumParts(ServerState server) {
                return state.mayStart(job, server)
                        ? server.countFittingPartsWhenEmpty(job.shape().part())
                        : 0;
            }
        };
    }
}
