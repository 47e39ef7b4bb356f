package org.teaselwood.workload.placer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Writes changed jobs to the store, one transaction at a time. Mutable; confined to the placer's duty thread.
 *
 * <p>Every write is conditional on the revision of the record that it replaces, so that a delayed transaction whose
 * answer was lost cannot overwrite a newer state. Changes during a transaction are batched into the next one, which
 * bounds the rate of writes by the latency of the service. After repeated failures fewer jobs are written at once, and
 * those of the failed transaction come last: a record that the store refuses must not block the other jobs.
 */
final class JobWrites {
    /**
     * Writes in one transaction: a condition and an operation for each and the condition on the term fit into 32
     * entries.
     */
    private static final int MAXIMUM_WRITES = 15;

    /** Size from which a transaction takes no further writes; it has to be sent within the timeout of a call. */
    static final long MAXIMUM_BYTES = 256 * 1_024;

    /**
     * Write rate that determines the delay after a large transaction; the delay batches a burst of ends in a job with
     * many tasks into a few writes.
     */
    private static final long BYTES_PER_MILLISECOND = 1_000;

    private static final long MAXIMUM_DELAY_MILLISECONDS = 60;

    private final PlacerEffects effects;
    private final Set<JobState> changed = new LinkedHashSet<>();
    private final Set<JobState> inFlight = new LinkedHashSet<>();
    private long retryAt;

    /** Failures since the last transaction that took effect. */
    private int failures;

    /** Largest number of jobs in the next transaction. */
    private int maximumJobs = MAXIMUM_WRITES;

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
        long bytes = 0;
        for (JobState job : changed.stream().limit(maximumJobs).toList()) {
            List<PlacerEffects.RecordWrite> ofJob = writes.size() < MAXIMUM_WRITES && bytes < MAXIMUM_BYTES
                    ? job.progress.nextWrites(MAXIMUM_WRITES - writes.size())
                    : List.of();
            if (ofJob.isEmpty()) {
                break;
            }
            inFlight.add(job);
            writes.addAll(ofJob);
            bytes += ofJob.stream().mapToLong(PlacerEffects.RecordWrite::size).sum();
        }
        changed.removeAll(inFlight);
        retryAt = now + Math.min(MAXIMUM_DELAY_MILLISECONDS, bytes / BYTES_PER_MILLISECOND);
        effects.writeRecords(writes);
    }

    /** Records that the transaction in flight took effect. */
    void recordsWritten(long revision) {
        failures = 0;
        maximumJobs = Math.min(MAXIMUM_WRITES, 2 * maximumJobs);
        List<JobState> written = List.copyOf(inFlight);
        inFlight.clear();
        written.forEach(job -> job.progress.written(revision));
        written.stream().filter(job -> job.storedVersion != job.version).forEach(changed::add);
    }

    /** Schedules the jobs of a rejected transaction again, with the current revisions of all stored progress by key. */
    void writeRejected(Map<String, Long> revisions) {
        inFlight.forEach(job -> job.progress.rejected(revisions));
        Set<JobState> others = new LinkedHashSet<>(changed);
        changed.clear();
        changed.addAll(inFlight);
        changed.addAll(others);
        inFlight.clear();
    }

    /**
     * Schedules the jobs of a transaction again whose outcome is unknown.
     *
     * @param retryMilliseconds time of the earliest repetition, in milliseconds
     */
    void failed(long retryMilliseconds) {
        retryAt = retryMilliseconds;
        failures++;
        if (failures > 1) {
            maximumJobs = Math.max(1, maximumJobs / 2);
        }
        inFlight.forEach(job -> job.progress.failed());
        changed.removeAll(inFlight);
        changed.addAll(inFlight);
        inFlight.clear();
    }
}
