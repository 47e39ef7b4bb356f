package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.WorkloadConfiguration;

/**
 * Decides which due occurrences of jobs get a state in memory, and drops the state that is no longer needed. Mutable;
 * confined to the placer's duty thread.
 *
 * <p>Invariant: the number of tasks with a state is bounded, whatever callers submit; due occurrences beyond the limit
 * wait, in the order of priority and age, until others have finished. Small and large occurrences have room of their
 * own, so that neither waits until none of the others is left. A large occurrence begins at the latest when no other
 * large one has a state; the large ones after it wait, because it would otherwise never begin.
 */
final class OccurrenceAdmission {
    /** Tasks with a state up to which a large occurrence begins; the entries have a heap of 96 MB. */
    static final long MAXIMUM_TASKS = 40_000;

    /** Tasks of the overlapping occurrences of one job; a single occurrence may have more. */
    static final long MAXIMUM_TASKS_OF_JOB = 2_000;

    /** Largest number of tasks of a small occurrence. */
    private static final long SMALL_OCCURRENCE_TASKS = 200;

    /** Room for small occurrences beyond {@link #MAXIMUM_TASKS}. */
    private static final long ADDITIONAL_TASKS = 20_000;

    /** Tasks of small occurrences with a state, counted in each call of {@link #admit}. */
    private long smallTasks;

    /** Tasks of large occurrences with a state, likewise. */
    private long largeTasks;

    /** Whether a large occurrence waits that comes before the following ones, likewise. */
    private boolean largeOccurrenceWaits;

    /** Begins due occurrences of open jobs as far as the limits allow. */
    void admit(Collection<JobState> open, WorkloadConfiguration configuration, long wallMilliseconds) {
        List<JobState> due = open.stream()
                .filter(job -> job.occurrences.hasDueOccurrence(wallMilliseconds))
                .sorted(Comparator.comparingInt((JobState job) -> priority(job, configuration))
                        .thenComparingLong(job -> job.acceptedRevision))
                .toList();
        if (due.isEmpty()) {
            return;
        }
        smallTasks = 0;
        largeTasks = 0;
        largeOccurrenceWaits = false;
        open.forEach(job -> count(job, job.occurrences.taskCount()));
        due.forEach(job -> {
            while (job.occurrences.hasDueOccurrence(wallMilliseconds) && fits(job)) {
                job.occurrences.beginNext();
                count(job, job.specification.tasksPerOccurrence());
            }
        });
    }

    private void count(JobState job, long tasks) {
        if (isSmall(job)) {
            smallTasks += tasks;
        } else {
            largeTasks += tasks;
        }
    }

    private static boolean isSmall(JobState job) {
        return job.specification.tasksPerOccurrence() <= SMALL_OCCURRENCE_TASKS;
    }

    private boolean fits(JobState job) {
        long added = job.specification.tasksPerOccurrence();
        long ofJob = job.occurrences.taskCount();
        if (ofJob > 0 && ofJob + added > MAXIMUM_TASKS_OF_JOB) {
            return false;
        }
        if (isSmall(job)) {
            return smallTasks + added <= ADDITIONAL_TASKS
                    || smallTasks + largeTasks + added <= MAXIMUM_TASKS + ADDITIONAL_TASKS;
        }
        boolean fitsBesideOthers = largeTasks == 0 || smallTasks + largeTasks + added <= MAXIMUM_TASKS;
        largeOccurrenceWaits |= !fitsBesideOthers;
        return !largeOccurrenceWaits;
    }

    private static int priority(JobState job, WorkloadConfiguration configuration) {
        return configuration
                .queue(job.specification.queue())
                .map(QueueSettings::priority)
                .orElse(Integer.MAX_VALUE);
    }

    /** Drops the state of finished occurrences, and of jobs that have ended and are stored. */
    static void dropUnneeded(Collection<JobState> jobs) {
        jobs.stream().filter(job -> job.specification.scheduled()).forEach(job -> job.occurrences.dropFinished());
        jobs.stream()
                .filter(job -> job.phase.isFinal() && job.storedVersion == job.version)
                .filter(job -> job.runs().findAny().isEmpty())
                .forEach(job -> job.occurrences.dropAll());
    }
}
