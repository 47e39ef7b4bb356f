package org.teaselwood.workload.record;

/**
 * Stored progress of one task. Immutable.
 *
 * @param attempt number of the last start, 0 before the first
 * @param failures runs that failed by themselves
 * @param done whether a run ended well
 * @param server identifier of the backend server that the last attempt was ordered on, empty when it has ended
 * @param serverStart start of that server's life, in milliseconds since 1970
 * @param host VM of that server, empty when the attempt has ended
 * @param checkpoint newest checkpoint, empty for none
 */
public record TaskRecord(
        int attempt, int failures, boolean done, String server, long serverStart, String host, String checkpoint) {
    /** A task that was never started. */
    public static final TaskRecord NEW = new TaskRecord(0, 0, false, "", 0, "", "");
}
