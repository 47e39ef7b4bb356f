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
 * @param resources resources that the step will use, by identifier of the backend server
 * @param victims runs that were preempted for the step
 * @param expiresAt time at which the reservation expires unless victims are still stopping, in milliseconds
 * @param latestExpiry time at which the reservation expires in any case, in milliseconds
 */
record CapacityReservation(Map<String, Resources> resources, Set<Run> victims, long expiresAt, long latestExpiry) {
    /** Longest time for the delivery of a stop order and the report of the run's end, in the absence of faults. */
    private static final long STOP_REPORT_MILLISECONDS = 1_000;

    /**
     * Longest time allowed when a stop order has to be repeated; the time limit for reclaiming a guarantee leaves
     * little more than this.
     */
    private static final long MAXIMUM_STOP_REPORT_MILLISECONDS = 2_000;

    static final CapacityReservation NONE = new CapacityReservation(Map.of(), Set.of(), 0, 0);

    /** Returns the reservation for a plan whose victims have just been ordered to stop. */
    static CapacityReservation of(Preemption.Plan plan, long stopMilliseconds, long now) {
        long stopped = now + stopMilliseconds;
        return new CapacityReservation(
                plan.resources(),
                plan.victims(),
                stopped + STOP_REPORT_MILLISECONDS,
                stopped + MAXIMUM_STOP_REPORT_MILLISECONDS);
    }

    /** Returns whether the reservation is still in force. */
    boolean isActive(long now) {
        return now < expiresAt || now < latestExpiry && victims.stream().anyMatch(CapacityReservation::isStopping);
    }

    private static boolean isStopping(Run run) {
        return run.server.runs.get(run.key()) == run;
    }

    /** Subtracts the reserved resources from what is free. */
    void reserve(FreeCapacity freeCapacity, Collection<ServerState> servers) {
        affectedServers(servers).forEach(server -> freeCapacity.allocate(server, resources.get(server.id)));
    }

    /** Undoes {@link #reserve}. */
    void release(FreeCapacity freeCapacity, Collection<ServerState> servers) {
        affectedServers(servers).forEach(server -> freeCapacity.release(server, resources.get(server.id)));
    }

    /**
     * Returns the servers with reserved resources; skips the search for an empty reservation, which most steps have.
     */
    private Stream<ServerState> affectedServers(Collection<ServerState> servers) {
        return resources.isEmpty()
                ? Stream.empty()
                : servers.stream().filter(server -> resources.containsKey(server.id));
    }
}
