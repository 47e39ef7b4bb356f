package org.teaselwood.workload.placer;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.teaselwood.workload.model.TaskName;
import org.teaselwood.workload.record.CrashHistory;
import org.teaselwood.workload.record.TaskRecord;

/**
 * State of one task. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: a failed attempt counts once. A server reports an end until it receives the acknowledgement, so that a
 * new placer may receive the end of an attempt whose failure is stored already.
 */
final class TaskState {
    final TaskName name;

    /** Servers on which a run has failed or stalled; immutable while it is empty, as it is for most tasks. */
    private Set<String> failedOn = Set.of();

    int attempt;

    /** Numbers of the failed attempts, likewise; the members of a gang share theirs. */
    private SortedSet<Integer> failedAttempts = Collections.emptySortedSet();

    /** Failures counted by an earlier build, which did not store the numbers of the attempts. */
    private int failuresWithoutAttempt;

    boolean done;
    String checkpoint = "";

    /** Crashes of servers after starts of this task. */
    CrashHistory crashes = CrashHistory.NONE;

    /** Current run, null if there is none. */
    Run run;

    /** Earliest time of the next placement, in milliseconds. */
    long notBefore;

    TaskState(TaskName name) {
        this.name = name;
    }

    boolean isWaiting() {
        return !done && run == null;
    }

    /** Records that a run has failed or stalled on a server. */
    void addFailedOn(String server) {
        failedOn = failedOn.isEmpty() ? new HashSet<>() : failedOn;
        failedOn.add(server);
    }

    boolean hasFailedOn(String server) {
        return failedOn.contains(server);
    }

    /** Records that an attempt has failed; the same attempt counts once. */
    void addFailedAttempt(int number) {
        failedAttempts = failedAttempts.isEmpty() ? new TreeSet<>() : failedAttempts;
        failedAttempts.add(number);
    }

    /** Returns the number of failed attempts. */
    int failures() {
        return failuresWithoutAttempt + failedAttempts.size();
    }

    /** Restores the progress except for the run. */
    void restore(TaskRecord stored) {
        attempt = stored.attempt();
        done = stored.done();
        checkpoint = stored.checkpoint();
        crashes = stored.crashes();
        stored.failedAttempts().forEach(this::addFailedAttempt);
        failuresWithoutAttempt = Math.max(0, stored.failures() - failedAttempts.size());
    }

    /** Returns whether there is nothing to store about the task. */
    private boolean isNew() {
        return attempt == 0
                && run == null
                && !done
                && failures() == 0
                && checkpoint.isEmpty()
                && !crashes.isSuspected();
    }

    TaskRecord toRecord() {
        if (isNew()) {
            return TaskRecord.NEW;
        }
        return new TaskRecord(
                attempt,
                failures(),
                done,
                run == null ? "" : run.server.id,
                run == null ? 0 : run.server.incarnation,
                run == null ? "" : run.server.host,
                checkpoint,
                List.copyOf(failedAttempts),
                crashes,
                run != null && run.isLateStart());
    }
}
