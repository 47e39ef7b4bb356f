package org.teaselwood.workload.placer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaselwood.workload.record.WorkloadJson;

/**
 * Writes changed jobs to the store, one transaction at a time. Mutable; confined to the placer's duty thread.
 *
 * <p>Every write is conditional on the revision of the record that it replaces, so that a delayed transaction whose
 * answer was lost cannot overwrite a newer state. Changes during a transaction are batched into the next one, which
 * bounds the rate of writes by the latency of the service.
 */
final class JobWrites {
    /**
     * Jobs in one transaction: a condition and a write for each job and the condition on the term fit into 32 entries.
     */
    private static final int MAXIMUM_JOBS_PER_TRANSACTION = 15;

    /**
     * Write rate that determines the delay after a large transaction; the delay batches a burst of ends in a job with
     * many tasks into a few writes.
     */
    private static final long BYTES_PER_MILLISECOND = 1_000;

    private static final long MAXIMUM_DELAY_MILLISECONDS = 60;

    private final PlacerEffects effects;
    private final Set<JobState> changed = new LinkedHashSet<>();
    private final Map<JobState, Long> inFlight = new LinkedHashMap<>();
    private long retryAt;

    JobWrites(PlacerEffects effects) {
        this.effects = effects;
    }

    /** Raises the version of a job and schedules a write of it. */
    void markChanged(JobState job) {
        job.version++;
        changed.add(job);
    }

    /** Starts a transaction with changed jobs if none is in flight and the delay has passed. */
    void flush(long now) {
        if (!inFlight.isEmpty() || changed.isEmpty() || now < retryAt) {
            return;
        }
        List<PlacerEffects.RecordWrite> writes = new ArrayList<>();
        changed.stream().limit(MAXIMUM_JOBS_PER_TRANSACTION).forEach(job -> {
            inFlight.put(job, job.version);
            writes.add(
                    new PlacerEffects.RecordWrite(job.id(), WorkloadJson.encode(job.toRecord()), job.recordRevision));
        });
        changed.removeAll(inFlight.keySet());
        long bytes = writes.stream().mapToLong(write -> write.value().length).sum();
        retryAt = now + Math.min(MAXIMUM_DELAY_MILLISECONDS, bytes / BYTES_PER_MILLISECOND);
        effects.writeRecords(writes);
    }

    /** Records that the transaction in flight took effect. */
    void recordsWritten(long revision) {
        Map<JobState, Long> stored = new LinkedHashMap<>(inFlight);
        inFlight.clear();
        stored.forEach((job, version) -> job.stored(version, revision));
    }

    /** Schedules the jobs of a rejected transaction again, with the current revisions of their records. */
    void writeRejected(Map<String, Long> revisions) {
        inFlight.keySet().forEach(job -> job.recordRevision = revisions.getOrDefault(job.id(), 0L));
        requeue();
    }

    /**
     * Schedules the jobs of a transaction again whose outcome is unknown.
     *
     * @param retryMilliseconds time of the earliest repetition, in milliseconds
     */
    void failed(long retryMilliseconds) {
        retryAt = retryMilliseconds;
        requeue();
    }

    private void requeue() {
        Set<JobState> requeued = new LinkedHashSet<>(inFlight.keySet());
        requeued.addAll(changed);
        changed.clear();
        changed.addAll(requeued);
        inFlight.clear();
    }
}
