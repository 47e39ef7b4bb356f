package org.teaselwood.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves borrowed work out of the way of waiting work when it pays. Confined to its scheduler's thread.
 *
 * <p>A job that waits may displace checkpointable borrowed work once the accelerator time it has waited reaches the
 * cost of stopping that work. Until then waiting is cheaper; after that moving is: the job never waits for more than
 * twice what the better choice would have cost. Victims must be expected to run longer than the job, belong to
 * smaller jobs, or the job must be overdue; each reclaim of a job doubles its cost, so that work cannot displace each
 * other in turn.
 */
final class Displacement {
    /** Classes looked at in one tick. */
    private static final int MOST_CLASSES = 4;

    /** A job may displace work whose expected remaining time is at least this many times its own. */
    private static final double SHORTER_FACTOR = 2;

    /** Nothing is displaced for a job that waits for less. */
    private static final long SHORTEST_WAIT_MILLISECONDS = 2_000;

    private static final long SHORTEST_RUN_MILLISECONDS = 10_000;

    /** Waiting jobs of one class that count together, because the victim's place holds several of them. */
    private static final int MOST_TOGETHER = 8;

    private final PolicyState state;
    /** Expected remaining run times, for the search in hand. */
    private final Map<TrackedAttempt, Long> remaining = new HashMap<>();

    Displacement(PolicyState state) {
        this.state = state;
    }

    /** Looks at the highest ranked classes that do not fit. */
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
            state.claim(job, found, null, "job " + job.request.job() + " has waited longer than a move costs");
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
     * Whether a victim is the same work of the same team. Its expected remaining time only grows with the time it has
     * run, so alike jobs that run long would displace each other in turn and none would get on.
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
