package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.teaselwood.workload.model.Resources;

/**
 * Reservation of capacity that is being freed for a step by preemption. Immutable.
 *
 * <p>Until the step starts or the reservation expires, no other job may use the capacity. Without the reservation, a
 * job that comes earlier in a pass would start on each part of it as soon as it is freed, and the step would preempt
 * more runs in every pass.
 *
 * @param room resources that the step will use, by identifier of the backend server
 * @param victims runs that were preempted for the step
 * @param until time at which the reservation expires unless victims are still stopping, in milliseconds
 * @param latest time at which the reservation expires in any case, in milliseconds
 */
record FreedRoom(Map<String, Resources> room, Set<Run> victims, long until, long latest) {
    /** Longest time for the delivery of a stop order and of the report of its end, in the absence of faults. */
    private static final long USUAL_MILLISECONDS = 1_000;

    /**
     * Longest time allowed when a stop order has to be repeated; the time limit for reclaiming a guarantee leaves
     * little more than this.
     */
    private static final long LONGEST_MILLISECONDS = 2_000;

    static final FreedRoom NONE = new FreedRoom(Map.of(), Set.of(), 0, 0);

    /** Returns the reservation for a plan whose victims have just been ordered to stop. */
    static FreedRoom of(Preemption.Plan plan, long stopMilliseconds, long now) {
        long stopped = now + stopMilliseconds;
        return new FreedRoom(plan.room(), plan.victims(), stopped + USUAL_MILLISECONDS, stopped + LONGEST_MILLISECONDS);
    }

    /** Returns whether the reservation is still in force. */
    boolean isKept(long now) {
        return now < until || now < latest && victims.stream().anyMatch(FreedRoom::isEnding);
    }

    private static boolean isEnding(Run run) {
        return run.server.runs.get(run.key()) == run;
    }

    /** Subtracts the reserved resources from what is free. */
    void reserve(Room all, Collection<ServerState> servers) {
        concerned(servers).forEach(server -> all.take(server, room.get(server.id)));
    }

    /** Undoes {@link #reserve}. */
    void release(Room all, Collection<ServerState> servers) {
        concerned(servers).forEach(server -> all.release(server, room.get(server.id)));
    }

    /**
     * Returns the servers with reserved resources; skips the search for an empty reservation, which most steps have.
     */
    private Stream<ServerState> concerned(Collection<ServerState> servers) {
        return room.isEmpty() ? Stream.empty() : servers.stream().filter(server -> room.containsKey(server.id));
    }
}
