package org.teaselwood.workload.model;

import java.util.List;

/**
 * An accepted job. Immutable.
 *
 * @param id identifier that the caller chose
 * @param queue name of the queue
 * @param team name of the team, empty when the queue is open to anybody
 * @param payload text that every task receives
 * @param steps the steps, at least one
 * @param startAtMilliseconds time of the first occurrence since 1970, 0 for a job without a schedule
 * @param intervalMilliseconds time between occurrences
 * @param occurrences number of occurrences, 0 for a job without a schedule
 */
public record JobSpecification(
        String id,
        String queue,
        String team,
        String payload,
        List<StepSpecification> steps,
        long startAtMilliseconds,
        long intervalMilliseconds,
        int occurrences) {
    /** Copies the list. */
    public JobSpecification {
        steps = List.copyOf(steps);
    }

    /** Whether the job has due times. */
    public boolean scheduled() {
        return occurrences > 0;
    }

    /** Due time of an occurrence, in milliseconds since 1970. */
    public long dueMilliseconds(int occurrence) {
        return startAtMilliseconds + occurrence * intervalMilliseconds;
    }
}
