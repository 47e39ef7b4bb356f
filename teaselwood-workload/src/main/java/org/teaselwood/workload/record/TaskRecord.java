package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of one task. Immutable.
 *
 * @param attempt number of the last attempt, 0 before the first
 * @param failures number of failed runs; stops and losses do not count, a failure in a gang counts for all its tasks
 * @param done whether a run has succeeded
 * @param server identifier of the backend server that the last attempt was ordered on, empty when it has ended
 * @param serverIncarnation start time of that server's incarnation, in milliseconds since 1970
 * @param host VM of that server, empty when the attempt has ended
 * @param checkpoint newest checkpoint, empty for none
 * @param failedAttempts numbers of the failed attempts, in ascending order; fewer than the failed runs if a build that
 *     did not store them has counted some
 * @param crashes crashes of backend servers shortly after starts of the task
 * @param lateStart whether the last attempt was ordered on a former incarnation of the server, and it is only not ruled
 *     out yet that its start takes effect on this one
 */
public record TaskRecord(
        int attempt,
        int failures,
        boolean done,
        String server,
        long serverIncarnation,
        String host,
        String checkpoint,
        List<Integer> failedAttempts,
        CrashHistory crashes,
        boolean lateStart) {
    /** Record of a task that has never been started. */
    public static final TaskRecord NEW =
            new TaskRecord(0, 0, false, "", 0, "", "", List.of(), CrashHistory.NONE, false);

    /** Returns the record of a task that is done and has no run. */
    static TaskRecord finished(int attempt) {
        return new TaskRecord(attempt, 0, true, "", 0, "", "", List.of(), CrashHistory.NONE, false);
    }

    /** Returns whether nothing but the attempt is needed of this record, because the task is done and has no run. */
    public boolean isFinished() {
        return done && server.isEmpty() && attempt > 0;
    }

    /** Creates a record with a copy of the list. */
    public TaskRecord {
        failedAttempts = List.copyOf(failedAttempts);
    }
}
