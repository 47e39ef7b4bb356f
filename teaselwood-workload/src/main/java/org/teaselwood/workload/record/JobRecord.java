package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of a job. Immutable.
 *
 * @param phase state that is reported to callers
 * @param team team that owns the job
 * @param steps progress of the steps that have started
 */
public record JobRecord(JobPhase phase, String team, List<StepRecord> steps) {
    /** Creates a record with a copy of the list. */
    public JobRecord {
        steps = List.copyOf(steps);
    }
}
