package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of a job. Immutable.
 *
 * @param phase state that is reported to callers
 * @param team team that owns the job
 * @param finished occurrences that are finished and not among the steps
 * @param steps progress of the steps that have started
 */
public record JobRecord(JobPhase phase, String team, List<OccurrenceRange> finished, List<StepRecord> steps) {
    /** Creates a record with copies of the lists. */
    public JobRecord {
        finished = List.copyOf(finished);
        steps = List.copyOf(steps);
    }

    /** Creates a record without finished occurrences. */
    public JobRecord(JobPhase phase, String team, List<StepRecord> steps) {
        this(phase, team, List.of(), steps);
    }
}
