package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.teaselwood.model.Shape;

/**
 * Reserves servers for waiting large gangs. Confined to its scheduler's thread.
 *
 * <p>For each of the highest-ranked gangs that have waited {@value #MINIMUM_WAIT_MILLISECONDS} ms, the time at which
 * each cell can hold the gang is estimated: the time by which, with a probability of 75 %, enough attempts have ended
 * according to their learned run time distributions. The servers of the earliest cell are reserved until that time;
 * work that is expected to end earlier may still use them. Since run times are known only as distributions,
 * reservations are recomputed every {@value #PERIOD_MILLISECONDS} ms.
 */
final class Reservations {
    /** Wait of a gang before servers are reserved for it. */
    static final long MINIMUM_WAIT_MILLISECONDS = 20_000;

    private static final long PERIOD_MILLISECONDS = 10_000;
    private static final int MAXIMUM_RESERVATIONS = 2;
    private static final double END_QUANTILE = 0.75;

    private final PolicyState state;
    private long nextRunMilliseconds;

    Reservations(PolicyState state) {
        this.state = state;
    }

    /** Recomputes the reservations if the period has passed. */
    void run() {
        if (state.nowMilliseconds < nextRunMilliseconds) {
            return;
        }
        nextRunMilliseconds = state.nowMilliseconds + PERIOD_MILLISECONDS;
        boolean hadReservations = !state.reservedServers.isEmpty();
        state.reservedServers.clear();
        state.queue.classes().stream()
                .filter(waitingClass -> waitingClass.mayBorrow()
                        && waitingClass.demand.blocked
                        && isLarge(waitingClass.key.template().shape()))
                .filter(waitingClass ->
                        state.nowMilliseconds - waitingClass.head().queuedMilliseconds >= MINIMUM_WAIT_MILLISECONDS)
                .sorted(Comparator.<WaitingClass>comparingDouble(
                                waitingClass -> -state.queue.rank(waitingClass, state.nowMilliseconds))
                        .thenComparingInt(waitingClass -> waitingClass.number))
                .limit(MAXIMUM_RESERVATIONS)
                .forEach(waitingClass -> reserveFor(waitingClass.head()));
        if (hadReservations) {
            state.capacityFreed = true;
        }
    }

    /**
     * Returns whether a shape is large: it needs several parts, or more accelerators per part than usually remain free
     * on a server that runs small work.
     */
    static boolean isLarge(Shape shape) {
        return shape.parts() > 1 || shape.part().accelerators() > 2;
    }

    private void reserveFor(TrackedJob job) {
        List<ServerEnd> best = List.of();
        long bestReady = Long.MAX_VALUE;
        for (List<ServerState> cell :
                state.cluster.cells(job.shape().adjacency()).values()) {
            List<ServerEnd> ends = new ArrayList<>();
            for (ServerState server : cell) {
                boolean open = state.mayStart(job, server) && !state.reservedServers.containsKey(server.name());
                int parts = open ? server.countFittingPartsWhenEmpty(job.shape().part()) : 0;
                if (parts > 0) {
                    ends.add(new ServerEnd(server.name(), expectedEnd(server), parts));
                }
            }
            ends.sort(Comparator.<ServerEnd>comparingLong(ServerEnd::end).thenComparing(ServerEnd::name));
            int missing = job.shape().parts();
            int used = 0;
            while (missing > 0 && used < ends.size()) {
                missing -= ends.get(used).parts;
                used++;
            }
            if (missing <= 0 && ends.get(used - 1).end < bestReady) {
                bestReady = ends.get(used - 1).end;
                best = ends.subList(0, used);
            }
        }
        long ready = bestReady;
        best.forEach(end -> state.reservedServers.put(end.name, ready));
    }

    private long expectedEnd(ServerState server) {
        long end = state.nowMilliseconds;
        for (TrackedAttempt attempt : server.attempts) {
            long ran = attempt.job.savedMilliseconds + Math.max(0, state.nowMilliseconds - attempt.startedMilliseconds);
            end = Math.max(
                    end,
                    state.nowMilliseconds
                            + state.runTimes.remaining(
                                    attempt.job.request.team(), attempt.job.request.template(), ran, END_QUANTILE));
        }
        return end;
    }

    /** Returns the names of the reserved servers. */
    TreeSet<String> servers() {
        return new TreeSet<>(state.reservedServers.keySet());
    }

    private record ServerEnd(String name, long end, int parts) {}
}
