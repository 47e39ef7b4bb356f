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
final class Displacement {
    /** Maximum number of classes considered per tick. */
    private static final int MOST_CLASSES = 4;

    /** Minimum ratio of the expected remaining run time of a victim to the typical run time of the waiting job. */
    private static final double SHORTER_FACTOR = 2;

    /** Minimum wait of a job before anything is preempted for it. */
    private static final long SHORTEST_WAIT_MILLISECONDS = 2_000;

    private static final long SHORTEST_RUN_MILLISECONDS = 10_000;

    /**
     * Maximum number of waiting jobs of one class whose gains are added up, because the resources of one victim can
     * serve several of them.
     */
    private static final int MOST_TOGETHER = 8;

    private final PolicyState state;
    /** Expected remaining run times of victims in milliseconds, cached for one tick. */
    private final Map<TrackedAttempt, Long> remaining = new HashMap<>();

    Displacement(PolicyState state) {
        this.state = state;
    }

    /** Considers preemption for the highest-ranked classes whose demand does not fit. */
    void run() {
        remaining.clear();
        List<WaitingClass> classes = state.queue.classes().stream()
                .filter(home -> home.mayBorrow() && (home.demand.blocked || home.demand.blockedOutsideReservations))
                .sorted(Comparator.<WaitingClass>comparingDouble(home -> -state.queue.rank(home, state.now))
                        .thenComparingInt(home -> home.number))
                .limit(MOST_CLASSES)
                .toList();
        classes.forEach(home -> displaceFor(home.head()));
    }

    private void displaceFor(TrackedJob job) {
        long waited = state.now - job.queuedMilliseconds;
        long run = Math.max(SHORTEST_RUN_MILLISECONDS, job.waitingClass.typicalRunMilliseconds);
        boolean isShort = !Reservations.isLarge(job.shape());
        int together = Math.min(MOST_TOGETHER, job.waitingClass.jobs.size());
        long gain = isShort
                ? (long) ((double) StopCosts.SCALE * waited * together / run)
                : (long) (waited * Math.max(1.0, job.size()));
        if (waited < SHORTEST_WAIT_MILLISECONDS
                || !state.queue.withinQuota(job.request.team(), job.accelerators())
                || job.request.deadlineMilliseconds() < state.now) {
            return;
        }
        boolean overdue = state.now - job.request.submittedMilliseconds() >= FairQueue.OVERDUE_MILLISECONDS;
        VictimSearch.Found found = VictimSearch.cheapest(
                state.cluster.cells(job.shape().adjacency()).values(),
                job.shape(),
                ground(job),
                victim -> mayDisplace(job, victim, overdue),
                isShort
                        ? victim -> StopCosts.slowdown(victim, state.now, run, state.runTimes)
                        : victim -> StopCosts.of(victim, state.now),
                overdue ? Long.MAX_VALUE : gain);
        if (found != null) {
            state.claim(job, found, null, "job " + job.request.job() + " has waited longer than the preemption costs");
        }
    }

    private boolean mayDisplace(TrackedJob job, TrackedAttempt victim, boolean overdue) {
        if (victim.job.unit != null || !victim.started || victim.job.reclaims > 0 && victim.job == job) {
            return false;
        }
        if (overdue) {
            return victim.job.request.submittedMilliseconds() > job.request.submittedMilliseconds();
        }
        if (!victim.job.request.template().checkpointable() || isAlike(job, victim)) {
            return false;
        }
        return remaining.computeIfAbsent(victim, this::expectedRemaining)
                        >= SHORTER_FACTOR * job.waitingClass.typicalRunMilliseconds
                || job.accelerators() >= 4 * Math.max(1, victim.job.accelerators());
    }

    /**
     * Returns whether a victim runs the same template for the same team. The expected remaining time of long-running
     * work grows with the time it has already run, so equal long jobs would preempt each other in turn and none of them
     * would make progress.
     */
    private static boolean isAlike(TrackedJob job, TrackedAttempt victim) {
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
                victim.job.savedMilliseconds + state.now - victim.startedMilliseconds,
                0.5);
    }

    private VictimSearch.Ground ground(TrackedJob job) {
        return new VictimSearch.Ground() {
            @Override
            public long accelerators(ServerState server) {
                return server.allAccelerators();
            }

            @Override
            public int mostParts(ServerState server) {
                return state.mayStart(job, server)
                        ? server.fitWhenEmpty(job.shape().part())
                        : 0;
            }
        };
    }
}
