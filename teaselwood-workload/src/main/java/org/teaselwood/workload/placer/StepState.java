package org.teaselwood.workload.placer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.model.TaskName;
import org.teaselwood.workload.record.StepRecord;

/** State of one step of one occurrence. Mutable; confined to the placer's duty thread. */
final class StepState {
    private final String job;
    final int occurrence;
    final int number;
    final StepSpecification specification;
    final List<TaskState> tasks;

    /** Attempts of a gang that failed; the ends of its members count once. */
    final Set<Integer> failedAttempts = new HashSet<>();

    /** Permissions of the advice service. */
    final StepAdvice advice = new StepAdvice();

    /** Room that is being freed for this step. */
    FreedRoom freed = FreedRoom.NONE;

    /** Since when the step could run and did not, in milliseconds; 0 while it can't. */
    long readySince;

    StepState(String job, int occurrence, int number, StepSpecification specification) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.specification = specification;
        this.tasks = IntStream.range(0, specification.count())
                .mapToObj(index -> new TaskState(new TaskName(job, occurrence, number, index)))
                .toList();
    }

    /** Name of the step, as in the names of its tasks. */
    String name() {
        return job + "." + occurrence + "." + number;
    }

    /** Work of the waiting tasks by the submitter's estimate, in core-seconds. */
    double estimatedWork() {
        return tasks.stream().filter(TaskState::waits).count()
                * specification.resources().equivalentCores()
                * specification.estimateMilliseconds()
                / 1_000.0;
    }

    /** Runs of its tasks that have not ended. */
    Stream<Run> runs() {
        return tasks.stream().filter(task -> task.run != null).map(task -> task.run);
    }

    boolean done() {
        return tasks.stream().allMatch(task -> task.done);
    }

    boolean started() {
        return tasks.stream().anyMatch(task -> task.attempt > 0);
    }

    boolean gang() {
        return specification.gang();
    }

    /** Number for the next attempt; all members of a gang share it. */
    int nextAttempt(TaskState task) {
        return gang() ? tasks.stream().mapToInt(member -> member.attempt).max().orElse(0) + 1 : task.attempt + 1;
    }

    /** Newest checkpoint; that of any member is valid for a gang. */
    String checkpointFor(TaskState task) {
        if (!gang()) {
            return task.checkpoint;
        }
        return tasks.stream()
                .map(member -> member.checkpoint)
                .filter(checkpoint -> !checkpoint.isEmpty())
                .findFirst()
                .orElse("");
    }

    /** Keeps a checkpoint that a run reported. */
    void saveCheckpoint(TaskState task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (gang()) {
            tasks.forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    StepRecord toRecord() {
        return new StepRecord(
                occurrence, number, tasks.stream().map(TaskState::toRecord).toList());
    }
}
