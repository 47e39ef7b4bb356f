package org.teaselwood.workload.placer;

import java.util.Map;

/**
 * Stores changed checkpoints at intervals. Mutable; confined to the placer's duty thread.
 *
 * <p>Agents report the checkpoints of active runs to a new placer, but after a loss of power on all VMs only stored
 * ones remain. A write for each checkpoint would cost a transaction per task and second.
 */
final class CheckpointWrites {
    private static final long INTERVAL_MILLISECONDS = 2_000;

    private final Map<String, JobState> jobs;
    private final JobWrites writes;
    private long storedAt;

    CheckpointWrites(Map<String, JobState> jobs, JobWrites writes) {
        this.jobs = jobs;
        this.writes = writes;
    }

    /** Schedules a write of each open job with a checkpoint that is not stored, if the interval has passed. */
    void check(long now) {
        if (now - storedAt < INTERVAL_MILLISECONDS) {
            return;
        }
        storedAt = now;
        jobs.values().stream()
                .filter(job -> !job.phase.isFinal())
                .filter(job -> job.steps().anyMatch(step -> step.hasUnstoredCheckpoint))
                .forEach(writes::markChanged);
    }
}
