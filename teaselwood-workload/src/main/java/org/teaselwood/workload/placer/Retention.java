package org.teaselwood.workload.placer;

import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Removes ended jobs from memory and from the store after the retention time. Mutable; confined to the
 * placer's duty thread.
 *
 * <p>Every placer reads all stored jobs after its election; without removal, the time of a takeover would grow with the
 * age of the deployment. Invariant: a job is removed only if none of its runs is left and its last record is stored;
 * the removal is conditional on the term, and only one is in flight.
 */
final class Retention {
    private static final Logger LOGGER = LoggerFactory.getLogger(Retention.class);

    /** Interval between searches for expired jobs; the retention time is on the order of minutes. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 2_000;

    /** Jobs removed in one transaction; each has three keys. */
    private static final int MAXIMUM_JOBS_PER_TRANSACTION = 10;

    private final Map<String, JobState> jobs;
    private final WorkloadTimings timings;
    private final PlacerEffects effects;
    private List<String> removing = List.of();
    private long lastCheckAt;

    Retention(Map<String, JobState> jobs, WorkloadTimings timings, PlacerEffects effects) {
        this.jobs = jobs;
        this.timings = timings;
        this.effects = effects;
    }

    /** Starts the removal of jobs whose retention time has passed. */
    void check(long now) {
        if (!removing.isEmpty() || now - lastCheckAt < CHECK_INTERVAL_MILLISECONDS) {
            return;
        }
        lastCheckAt = now;
        removing = jobs.values().stream()
                .filter(job -> job.phase.isFinal() && now - job.endedAt >= timings.retentionMilliseconds())
                .filter(job ->
                        job.storedVersion == job.version && job.runs().findAny().isEmpty())
                .limit(MAXIMUM_JOBS_PER_TRANSACTION)
                .map(JobState::id)
                .toList();
        if (!removing.isEmpty()) {
            effects.removeJobs(removing);
        }
    }

    /** Drops the jobs of the removal in flight, which are no longer stored. */
    void jobsRemoved() {
        LOGGER.info("removed {} ended jobs after their retention time", removing.size());
        removing.forEach(jobs::remove);
        removing = List.of();
    }

    /** Ends the removal in flight without effect here; its outcome is unknown, and a later check repeats it. */
    void failed() {
        removing = List.of();
    }
}
