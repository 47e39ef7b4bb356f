package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of a job. The progress of occurrences with many tasks is stored in chunks, because the size of a
 * value is limited. Immutable.
 *
 * @param phase state that is reported to callers
 * @param team team that owns the job
 * @param finished occurrences that are finished and not among the steps
 * @param chunkedOccurrences occurrences that have begun and whose steps are stored in chunks
 * @param steps progress of the other steps that have started
 */
public record JobRecord(
        JobPhase phase,
        String team,
        List<OccurrenceRange> finished,
        List<Integer> chunkedOccurrences,
        List<StepRecord> steps) {
    /** Creates a record with copies of the lists. */
    public JobRecord {
        finished = List.copyOf(finished);
        chunkedOccurrences = List.copyOf(chunkedOccurrences);
        steps = List.copyOf(steps);
    }

    /** Creates a record without finished occurrences and chunks. */
    public JobRecord(JobPhase phase, String team, List<StepRecord> steps) {
        this(phase, team, List.of(), List.of(), steps);
    }
}
