package org.teaselwood.workload.model;

import java.util.List;
import java.util.Optional;

/**
 * Specification of an accepted job. Immutable.
 *
 * @param id identifier assigned by the caller
 * @param queue name of the queue
 * @param team name of the team, empty when the queue is open to everyone
 * @param payload text that is passed to every task
 * @param steps the steps, at least one
 * @param startAtMilliseconds due time of the first occurrence since 1970, 0 for a job without a schedule
 * @param intervalMilliseconds time between the due times of two occurrences
 * @param occurrences number of occurrences, 0 for a job without a schedule
 * @param queueSettings settings of the queue when the job was accepted, empty if an earlier version accepted it
 */
public record JobSpecification(
        String id,
        String queue,
        String team,
        String payload,
        List<StepSpecification> steps,
        long startAtMilliseconds,
        long intervalMilliseconds,
        int occurrences,
        Optional<QueueSettings> queueSettings) {
    /** Largest number of tasks of a job in all its occurrences. */
    private static final long MAXIMUM_TASKS = 100_000;

    /** Creates a specification with a copy of the list; fails if the job has too many tasks in all occurrences. */
    public JobSpecification {
        steps = List.copyOf(steps);
        long tasks = steps.stream().mapToLong(StepSpecification::count).sum();
        // Each factor is checked before the multiplication, which may overflow.
        if (steps.isEmpty()
                || steps.stream().anyMatch(step -> step.count() < 1)
                || tasks > MAXIMUM_TASKS
                || occurrences > MAXIMUM_TASKS
                || Math.max(1, occurrences) * tasks > MAXIMUM_TASKS) {
            throw new IllegalArgumentException(
                    steps.size() + " steps with " + tasks + " tasks, " + occurrences + " occurrences");
        }
    }

    /** Creates a specification without the settings of the queue. */
    public JobSpecification(
            String id,
            String queue,
            String team,
            String payload,
            List<StepSpecification> steps,
            long startAtMilliseconds,
            long intervalMilliseconds,
            int occurrences) {
        this(id, queue, team, payload, steps, startAtMilliseconds, intervalMilliseconds, occurrences, Optional.empty());
    }

    /** Returns a step by its number, empty if there is none. */
    public Optional<StepSpecification> step(int number) {
        return number >= 0 && number < steps.size() ? Optional.of(steps.get(number)) : Optional.empty();
    }

    /** Returns the number of tasks of one occurrence. */
    public long tasksPerOccurrence() {
        return steps.stream().mapToLong(StepSpecification::count).sum();
    }

    /** Returns whether the job has a schedule. */
    public boolean scheduled() {
        return occurrences > 0;
    }

    /** Returns the due time of an occurrence, in milliseconds since 1970. */
    public long dueMilliseconds(int occurrence) {
        return startAtMilliseconds + occurrence * intervalMilliseconds;
    }
}
