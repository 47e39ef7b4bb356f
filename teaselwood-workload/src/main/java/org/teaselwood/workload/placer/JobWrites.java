package org.teaselwood.workload.placer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaselwood.workload.record.WorkloadJson;

/**
 * Writes changed jobs, one transaction at a time. Confined to the placer's duty thread.
 *
 * <p>Every write is conditional on the revision of the record that it replaces, so that a transaction whose answer was
 * lost cannot take effect later and put an old state over a newer one. Changes during a transaction are gathered for
 * the next, which bounds the rate of writes by the latency of the service.
 */
final class JobWrites {
    /** A condition and a write for each job, and the condition on the election, fit 32 entries of a transaction. */
    private static final int MAXIMUM_JOBS = 15;

    /** After large writes the next waits, so that a burst of ends in a wide job is written a few times, not each. */
    private static final long BYTES_A_MILLISECOND = 1_000;

    private static final long LONGEST_PAUSE_MILLISECONDS = 60;

    private final PlacerEffects effects;
    private final Set<JobState> changed = new LinkedHashSet<>();
    private final Map<JobState, Long> inFlight = new LinkedHashMap<>();
    private long retryAt;

    JobWrites(PlacerEffects effects) {
        this.effects = effects;
    }

    /** Raises the version of a job and schedules its write. */
    void changed(JobState job) {
        job.version++;
        changed.add(job);
    }

    /** Begins a transaction if none is in flight. */
    void flush(long now) {
        if (!inFlight.isEmpty() || changed.isEmpty() || now < retryAt) {
            return;
        }
        List<PlacerEffects.RecordWrite> writes = new ArrayList<>();
        changed.stream().limit(MAXIMUM_JOBS).forEach(job -> {
            inFlight.put(job, job.version);
            writes.add(
                    new PlacerEffects.RecordWrite(job.id(), WorkloadJson.encode(job.toRecord()), job.recordRevision));
        });
        changed.removeAll(inFlight.keySet());
        long bytes = writes.stream().mapToLong(write -> write.value().length).sum();
        retryAt = now + Math.min(LONGEST_PAUSE_MILLISECONDS, bytes / BYTES_A_MILLISECOND);
        effects.write(writes);
    }

    /** The transaction took effect. */
    void written(long revision) {
        Map<JobState, Long> stored = new LinkedHashMap<>(inFlight);
        inFlight.clear();
        stored.forEach((job, version) -> job.stored(version, revision));
    }

    /** A condition did not hold; these are the present revisions of the records. */
    void revisionsRead(Map<String, Long> revisions) {
        inFlight.keySet().forEach(job -> job.recordRevision = revisions.getOrDefault(job.id(), 0L));
        putBack();
    }

    /** Whether the transaction took effect is not known; it is repeated later. */
    void failed(long retryMilliseconds) {
        retryAt = retryMilliseconds;
        putBack();
    }

    private void putBack() {
        Set<JobState> later = new LinkedHashSet<>(inFlight.keySet());
        later.addAll(changed);
        changed.clear();
        changed.addAll(later);
        inFlight.clear();
    }
}
