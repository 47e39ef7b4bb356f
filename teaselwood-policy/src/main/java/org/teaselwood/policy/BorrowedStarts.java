package org.teaselwood.policy;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.teaselwood.policy.LayeredRoom.Promises;

/**
 * Starts borrowed work on idle capacity in the order of {@link FairQueue#rank}. Confined to its scheduler's thread.
 *
 * <p>Capacity outside the guarantee units is used first, because work there does not have to be preempted when a team
 * reclaims its guarantee. A demand that does not fit is not searched for again until capacity is freed. Servers that
 * are reserved for a large gang accept only work that is expected, with a probability of 90 %, to end before the gang
 * starts; the estimate is the learned run time distribution.
 */
final class BorrowedStarts {
    private final PolicyState state;

    BorrowedStarts(PolicyState state) {
        this.state = state;
    }

    /** Starts waiting jobs in order of rank for as long as they fit. */
    void run() {
        PriorityQueue<Ranked> open = new PriorityQueue<>();
        for (WaitingClass home : state.queue.classes()) {
            if (mayTry(home)) {
                open.add(new Ranked(state.queue.rank(home, state.now), home));
            }
        }
        while (!open.isEmpty()) {
            WaitingClass home = open.remove().home;
            if (mayTry(home) && start(home.head(), false) && mayTry(home)) {
                open.add(new Ranked(state.queue.rank(home, state.now), home));
            }
        }
    }

    private boolean mayTry(WaitingClass home) {
        return !home.jobs.isEmpty() && home.mayBorrow() && !home.demand.blocked;
    }

    /**
     * Starts one job on free capacity and returns whether it was started.
     *
     * @param onlyUnblocked whether to skip the search if the demand is known not to fit
     */
    boolean start(TrackedJob job, boolean onlyUnblocked) {
        WaitingClass home = job.waitingClass;
        if (onlyUnblocked && home.demand.blocked
                || !state.queue.withinQuota(job.request.team(), job.accelerators())
                || job.request.deadlineMilliseconds() < state.now) {
            return false;
        }
        long end = state.now + home.longRunMilliseconds;
        boolean restricted = state.reservedServers.values().stream().anyMatch(ready -> end > ready);
        if (restricted && home.demand.blockedOutsideReservations) {
            return false;
        }
        Predicate<ServerState> usable = server -> state.mayStart(job, server)
                && (!restricted || end <= state.reservedServers.getOrDefault(server.name(), Long.MAX_VALUE));
        List<PartPlacement> found =
                RoomSearch.find(state.cluster, job.shape(), new LayeredRoom(true, Promises.ALL, usable));
        if (found.isEmpty()) {
            found = RoomSearch.find(state.cluster, job.shape(), new LayeredRoom(true, Promises.NONE, usable));
        }
        if (found.isEmpty()) {
            home.demand.blocked |= !restricted;
            home.demand.blockedOutsideReservations = true;
            return false;
        }
        state.place(job, found, null);
        return true;
    }

    private record Ranked(double rank, WaitingClass home) implements Comparable<Ranked> {
        private static final Comparator<Ranked> ORDER = Comparator.<Ranked>comparingDouble(ranked -> -ranked.rank)
                .thenComparingInt(ranked -> ranked.home.number);

        @Override
        public int compareTo(Ranked other) {
            return ORDER.compare(this, other);
        }
    }
}
