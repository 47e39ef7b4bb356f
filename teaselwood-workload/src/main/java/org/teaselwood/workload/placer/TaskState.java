package org.teaselwood.workload.placer;

import java.util.HashSet;
import java.util.Set;
import org.teaselwood.workload.model.TaskName;
import org.teaselwood.workload.record.TaskRecord;

/** State of one task. Mutable; confined to the placer's duty thread. */
final class TaskState {
    final TaskName name;
    final Set<String> failedOn = new HashSet<>();
    int attempt;
    int failures;
    boolean done;
    String checkpoint = "";

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

    TaskRecord toRecord() {
        return new TaskRecord(
                attempt,
                failures,
                done,
                run == null ? "" : run.server.id,
                run == null ? 0 : run.server.incarnation,
                run == null ? "" : run.server.host,
                checkpoint);
    }
}
