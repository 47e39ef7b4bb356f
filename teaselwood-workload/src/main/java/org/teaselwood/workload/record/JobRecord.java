package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of a job. Immutable.
 *
 * @param phase state that callers see
 * @param team team that the job belongs to
 * @param steps progress of the steps that have started
 */
public record JobRecord(JobPhase phase, String team, List<StepRecord> steps) {
    /** Copies the list. */
    public JobRecord {
        steps = List.copyOf(steps);
    }
}
