package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.TaskName;
import org.teaselwood.workload.record.JobPhase;

/**
 * State of one job. Mutable; confined to the placer's duty thread.
 *
 * <p>Invariant: every change raises the version, and an externally visible effect waits until a write of
 * its version is stored.
 */
final class JobState {
    final JobSpecification specification;

    /** Revision of the key-value service at which the job was accepted; defines the order of jobs by age. */
    final long acceptedRevision;

    /** State of the occurrences that have begun. */
    final OccurrenceStates occurrences;

    /**
     * Time at which this placer learned of the job, in milliseconds; negative if an earlier placer had stored progress.
     */
    long acceptedAt = -1;

    /** Time at which this placer learned that the job had ended, in milliseconds. */
    long endedAt;

    JobPhase phase = JobPhase.QUEUED;
    boolean cancelRequested;

    /** Limit on failed attempts of a task, from the newest configuration that contains the queue. */
    int maximumAttempts = Integer.MAX_VALUE;

    long version;
    long storedVersion;

    /** Stored progress of the job. */
    final JobProgress progress;

    private final Deque<Deferred> afterWrite = new ArrayDeque<>();

    private record Deferred(long version, Runnable action) {}

    JobState(JobSpecification specification, long acceptedRevision) {
        this.specification = specification;
        this.acceptedRevision = acceptedRevision;
        this.occurrences = new OccurrenceStates(specification);
        this.progress = new JobProgress(this);
    }

    String id() {
        return specification.id();
    }

    /** Returns the steps of all occurrences that have begun and are not finished. */
    Stream<StepState> steps() {
        return occurrences.steps();
    }

    Optional<StepState> step(int occurrence, int number) {
        return occurrences.step(occurrence, number);
    }

    Optional<TaskState> task(TaskName name) {
        return step(name.occurrence(), name.step())
                .filter(step -> name.index() >= 0 && name.index() < step.tasks.size())
                .map(step -> step.tasks.get(name.index()));
    }

    /** Returns whether the step is due and the steps that it depends on are done. */
    boolean isReady(StepState step, long wallMilliseconds) {
        return (!specification.scheduled() || specification.dueMilliseconds(step.occurrence) <= wallMilliseconds)
                && step.specification.dependencies().stream()
                        .allMatch(earlier -> step(step.occurrence, earlier)
                                .map(StepState::done)
                                .orElse(true));
    }

    Stream<Run> runs() {
        return steps().flatMap(StepState::runs);
    }

    /** Runs the action once this version of the job is stored. */
    void whenStored(Runnable action) {
        afterWrite.add(new Deferred(version, action));
    }

    /** Records that the given version is stored and runs the actions that waited for it. */
    void stored(long writtenVersion) {
        storedVersion = writtenVersion;
        List<Runnable> actions = new ArrayList<>();
        while (!afterWrite.isEmpty() && afterWrite.peek().version() <= writtenVersion) {
            actions.add(afterWrite.poll().action());
        }
        actions.forEach(Runnable::run);
    }
}
