package org.teaselwood.policy;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.teaselwood.policy.LayeredCapacityView.ExcludedUnits;

/**
 * Starts borrowed work on idle capacity in the order of {@link FairQueue#rank}. Confined to its scheduler's thread.
 *
 * <p>Capacity outside the guarantee units is used first, because work there does not have to be preempted when a team
 * reclaims its guarantee. A demand that does not fit is not searched for again until capacity is freed. Servers that
 * are reserved for a large gang accept only work that is expected, with a probability of 90 %, to end before the gang
 * starts; the estimate is the learned run time distribution.
 */
final class BorrowedJobStarter {
    private final PolicyState state;

    BorrowedJobStarter(PolicyState state) {
        this.state = state;
    }

    /** Starts waiting jobs in order of rank for as long as they fit. */
    void run() {
        PriorityQueue<Ranked> open = new PriorityQueue<>();
        for (WaitingClass waitingClass : state.queue.classes()) {
            if (mayTry(waitingClass)) {
                open.add(new Ranked(state.queue.rank(waitingClass, state.nowMilliseconds), waitingClass));
            }
        }
        while (!open.isEmpty()) {
            WaitingClass waitingClass = open.remove().waitingClass;
            if (mayTry(waitingClass) && start(waitingClass.head(), false) && mayTry(waitingClass)) {
                open.add(new Ranked(state.queue.rank(waitingClass, state.nowMilliseconds), waitingClass));
            }
        }
    }

    private boolean mayTry(WaitingClass waitingClass) {
        return !waitingClass.jobs.isEmpty() && waitingClass.mayBorrow() && !waitingClass.demand.blocked;
    }

    /**
     * Starts one job on free capacity and returns whether it was started.
     *
     * @param onlyUnblocked whether to skip the search if the demand is known not to fit
     */
    boolean start(TrackedJob job, boolean onlyUnblocked) {
        WaitingClass waitingClass = job.waitingClass;
        if (onlyUnblocked && waitingClass.demand.blocked
                || !state.queue.withinQuota(job.request.team(), job.accelerators())
                || job.request.deadlineMilliseconds() < state.nowMilliseconds) {
            return false;
        }
        long end = state.nowMilliseconds + waitingClass.longRunMilliseconds;
        boolean restricted = state.reservedServers.values().stream().anyMatch(ready -> end > ready);
        if (restricted && waitingClass.demand.blockedOutsideReservations) {
            return false;
        }
        Predicate<ServerState> usable = server -> state.mayStart(job, server)
                && (!restricted || end <= state.reservedServers.getOrDefault(server.name(), Long.MAX_VALUE));
        List<PartPlacement> found = PlacementSearch.find(
                state.cluster, job.shape(), new LayeredCapacityView(true, ExcludedUnits.ALL, usable));
        if (found.isEmpty()) {
            found = PlacementSearch.find(
                    state.cluster, job.shape(), new LayeredCapacityView(true, ExcludedUnits.NONE, usable));
        }
        if (found.isEmpty()) {
            waitingClass.demand.blocked |= !restricted;
            waitingClass.demand.blockedOutsideReservations = true;
            return false;
        }
        state.place(job, found, null);
        return true;
    }

    private record Ranked(double rank, WaitingClass waitingClass) implements Comparable<Ranked> {
        private static final Comparator<Ranked> ORDER = Comparator.<Ranked>comparingDouble(ranked -> -ranked.rank)
                .thenComparingInt(ranked -> ranked.waitingClass.number);

        @Override
        public int compareTo(Ranked other) {
            return ORDER.compare(this, other);
        }
    }
}
