package org.teaselwood.workload.placer;

import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Forgets jobs that ended long ago, here and in the store. Confined to the placer's duty thread.
 *
 * <p>Every placer reads all stored jobs after its election, so that the time of a takeover would grow with the age of
 * the deployment. A job is removed only when nothing of it runs and its last record is stored; the removal is
 * conditional on the term, and only one is under way.
 */
final class Retention {
    private static final Logger LOGGER = LoggerFactory.getLogger(Retention.class);

    /** Jobs are looked through this often; the retention is minutes. */
    private static final long CHECK_MILLISECONDS = 2_000;

    /** The three keys of each of these jobs fit one transaction. */
    private static final int MAXIMUM_JOBS = 10;

    private final Map<String, JobState> jobs;
    private final WorkloadTimings timings;
    private final PlacerEffects effects;
    private List<String> removing = List.of();
    private long checkedAt;

    Retention(Map<String, JobState> jobs, WorkloadTimings timings, PlacerEffects effects) {
        this.jobs = jobs;
        this.timings = timings;
        this.effects = effects;
    }

    /** Begins to remove what is due. */
    void check(long now) {
        if (!removing.isEmpty() || now - checkedAt < CHECK_MILLISECONDS) {
            return;
        }
        checkedAt = now;
        removing = jobs.values().stream()
                .filter(job -> job.phase.isFinal() && now - job.endedAt >= timings.retentionMilliseconds())
                .filter(job ->
                        job.storedVersion == job.version && job.runs().findAny().isEmpty())
                .limit(MAXIMUM_JOBS)
                .map(JobState::id)
                .toList();
        if (!removing.isEmpty()) {
            effects.remove(removing);
        }
    }

    /** The jobs are no longer stored. */
    void removed() {
        LOGGER.info("forgot {} jobs that ended long ago", removing.size());
        removing.forEach(jobs::remove);
        removing = List.of();
    }

    /** The jobs may still be stored; they are removed later. */
    void failed() {
        removing = List.of();
    }
}
