package org.teaselwood.workload.record;

import java.util.List;

/**
 * Stored progress of one step of one occurrence. Immutable.
 *
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @param tasks progress of its tasks, in the order of their numbers
 */
public record StepRecord(int occurrence, int step, List<TaskRecord> tasks) {
    /** Creates a record with a copy of the list. */
    public StepRecord {
        tasks = List.copyOf(tasks);
    }
}
