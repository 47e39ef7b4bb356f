package org.teaselwood.workload.placer;

import java.util.List;
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

    /** Answers of the advice service. */
    final StepAdvice advice = new StepAdvice();

    /** Reservation of capacity that is being freed for this step. */
    CapacityReservation reservation = CapacityReservation.NONE;

    /** Whether most tasks wait because a server crashed after the start of one, and none has survived since. */
    boolean heldAfterCrash;

    /** Whether a checkpoint has changed since the record of the step was last encoded. */
    boolean hasUnstoredCheckpoint;

    /** Time since which tasks of the step are ready and not placed, in milliseconds; 0 if there are none. */
    long readySince;

    /** Time at which a task of the step was last started by this placer, in milliseconds; 0 if never. */
    long lastStartAt;

    /** Number of tasks at the beginning that are done, as far as it is known; a task that is done stays so. */
    private int doneAtBeginning;

    /** Earliest time of the next log line about the wait of the step, in milliseconds. */
    long nextWaitLineAt;

    StepState(String job, int occurrence, int number, StepSpecification specification) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.specification = specification;
        this.tasks = IntStream.range(0, specification.count())
                .mapToObj(index -> new TaskState(new TaskName(job, occurrence, number, index)))
                .toList();
    }

    /** Returns the name of the step, which is the prefix of the names of its tasks. */
    String name() {
        return job + "." + occurrence + "." + number;
    }

    /** Returns the current runs of the step's tasks. */
    Stream<Run> runs() {
        return tasks.stream().filter(task -> task.run != null).map(task -> task.run);
    }

    boolean done() {
        return openTasks().isEmpty();
    }

    /** Returns the tasks from the first that is not done. */
    List<TaskState> openTasks() {
        while (doneAtBeginning < tasks.size() && tasks.get(doneAtBeginning).done) {
            doneAtBeginning++;
        }
        return tasks.subList(doneAtBeginning, tasks.size());
    }

    boolean started() {
        return tasks.stream().anyMatch(task -> task.attempt > 0);
    }

    boolean gang() {
        return specification.gang();
    }

    /** Returns the next attempt number; all members of a gang share it. */
    int nextAttempt(TaskState task) {
        return gang() ? tasks.stream().mapToInt(member -> member.attempt).max().orElse(0) + 1 : task.attempt + 1;
    }

    /**
     * Returns the newest checkpoint, empty if there is none; a checkpoint of any member is valid for the whole gang.
     */
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

    /** Saves a checkpoint that a run reported; it is in memory only until the next write of the job. */
    void saveCheckpoint(TaskState task, String checkpoint) {
        if (checkpoint.isEmpty() || checkpoint.equals(task.checkpoint)) {
            return;
        }
        hasUnstoredCheckpoint = true;
        if (gang()) {
            tasks.forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    StepRecord toRecord() {
        hasUnstoredCheckpoint = false;
        return new StepRecord(
                occurrence, number, tasks.stream().map(TaskState::toRecord).toList());
    }
}
