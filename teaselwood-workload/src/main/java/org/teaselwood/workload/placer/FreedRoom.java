package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.teaselwood.workload.model.Resources;

/**
 * Room that is being freed for a step by stopping other runs. Immutable.
 *
 * <p>Until the step starts or the room is given up, it belongs to the step: other jobs neither start there nor count on
 * it. Otherwise a job that is taken earlier in a pass starts in each piece as it becomes free, and the step stops more
 * runs again and again.
 *
 * @param room what the step will take, by identifier of the backend server
 * @param victims runs that were stopped for it
 * @param until the room is given up at this time, in milliseconds, unless its victims are still ending
 * @param latest the room is given up at this time in any case, in milliseconds
 */
record FreedRoom(Map<String, Resources> room, Set<Run> victims, long until, long latest) {
    /** The order of a stop and its report take this long at most when nothing is disturbed. */
    private static final long USUAL_MILLISECONDS = 1_000;

    /** A stop that has to be repeated takes longer; the reclaim of a guarantee allows for little more than this. */
    private static final long LONGEST_MILLISECONDS = 2_000;

    static final FreedRoom NONE = new FreedRoom(Map.of(), Set.of(), 0, 0);

    /** Room for which the runs of a plan are being stopped since now. */
    static FreedRoom of(Preemption.Plan plan, long stopMilliseconds, long now) {
        long stopped = now + stopMilliseconds;
        return new FreedRoom(plan.room(), plan.victims(), stopped + USUAL_MILLISECONDS, stopped + LONGEST_MILLISECONDS);
    }

    /** Whether the room is still kept for the step. */
    boolean isKept(long now) {
        return now < until || now < latest && victims.stream().anyMatch(FreedRoom::isEnding);
    }

    private static boolean isEnding(Run run) {
        return run.server.runs.get(run.key()) == run;
    }

    /** Keeps the room from others. */
    void reserve(Room all, Collection<ServerState> servers) {
        concerned(servers).forEach(server -> all.take(server, room.get(server.id)));
    }

    /** Undoes {@link #reserve}. */
    void release(Room all, Collection<ServerState> servers) {
        concerned(servers).forEach(server -> all.release(server, room.get(server.id)));
    }

    /** Most steps have freed no room, and a pass calls this for each of them. */
    private Stream<ServerState> concerned(Collection<ServerState> servers) {
        return room.isEmpty() ? Stream.empty() : servers.stream().filter(server -> room.containsKey(server.id));
    }
}
