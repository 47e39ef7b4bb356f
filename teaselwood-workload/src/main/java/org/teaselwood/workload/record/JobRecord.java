package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of a job. Immutable.
 *
 * @param phase state that callers see
 * @param steps progress of the steps that have started
 */
public record JobRecord(JobPhase phase, List<StepRecord> steps) {
    /** Copies the list. */
    public JobRecord {
        steps = List.copyOf(steps);
    }
}
