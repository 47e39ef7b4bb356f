package org.teaselwood.workload.placer;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.record.OccurrenceRange;

/**
 * State of the occurrences of one job that have begun and are not finished. Mutable; confined to the placer's duty
 * thread.
 *
 * <p>Invariant: an occurrence that has not begun or is finished has no state of its own, because a job may be scheduled
 * for years. A job without a schedule has one occurrence, which is due at once.
 */
final class OccurrenceStates {
    private final JobSpecification specification;
    private final int count;
    private final NavigableMap<Integer, Begun> begun = new TreeMap<>();
    private final BitSet finished = new BitSet();

    /** First occurrence that has not begun. */
    private int next;

    /** Steps of an occurrence and all their tasks in the same order. Immutable, except for their states. */
    private record Begun(List<StepState> steps, List<TaskState> tasks) {
        static Begun of(List<StepState> steps) {
            return new Begun(
                    steps, steps.stream().flatMap(step -> step.tasks.stream()).toList());
        }
    }

    OccurrenceStates(JobSpecification specification) {
        this.specification = specification;
        this.count = Math.max(1, specification.occurrences());
    }

    /** Returns the steps of all occurrences that have begun and are not finished. */
    Stream<StepState> steps() {
        return begun.values().stream().flatMap(occurrence -> occurrence.steps().stream());
    }

    Optional<StepState> step(int occurrence, int number) {
        return Optional.ofNullable(begun.get(occurrence))
                .map(Begun::steps)
                .filter(steps -> number >= 0 && number < steps.size())
                .map(steps -> steps.get(number));
    }

    /** Returns the occurrences that have begun and are not finished. */
    Stream<Integer> begun() {
        return begun.keySet().stream();
    }

    /** Returns the tasks of an occurrence in the order of its steps; empty unless it has begun and is not finished. */
    List<TaskState> tasks(int occurrence) {
        return Optional.ofNullable(begun.get(occurrence)).map(Begun::tasks).orElse(List.of());
    }

    /** Returns the number of tasks that have a state. */
    long taskCount() {
        return begun.size() * specification.tasksPerOccurrence();
    }

    /** Returns whether an occurrence that has not begun is due. */
    boolean hasDueOccurrence(long wallMilliseconds) {
        return next < count && (!specification.scheduled() || specification.dueMilliseconds(next) <= wallMilliseconds);
    }

    boolean isFinished(int occurrence) {
        return finished.get(occurrence);
    }

    /** Begins the next occurrence. */
    void beginNext() {
        begin(next);
    }

    /** Begins an occurrence of which progress is stored, unless it has begun or is finished. */
    void begin(int occurrence) {
        if (occurrence < 0 || occurrence >= count || finished.get(occurrence) || begun.containsKey(occurrence)) {
            return;
        }
        begun.put(
                occurrence,
                Begun.of(IntStream.range(0, specification.steps().size())
                        .mapToObj(number -> new StepState(
                                specification.id(),
                                occurrence,
                                number,
                                specification.steps().get(number)))
                        .toList()));
        advanceNext();
    }

    /** Restores the finished occurrences from a record. */
    void restoreFinished(List<OccurrenceRange> ranges) {
        ranges.forEach(range -> finished.set(Math.min(range.first(), count), Math.min(range.last() + 1, count)));
        advanceNext();
    }

    private void advanceNext() {
        while (next < count && (finished.get(next) || begun.containsKey(next))) {
            next++;
        }
    }

    /** Drops the state of finished occurrences. */
    void dropFinished() {
        List<Integer> dropped = begun.entrySet().stream()
                .filter(entry -> entry.getValue().steps().stream()
                        .allMatch(step -> step.done() && step.runs().findAny().isEmpty()))
                .map(Map.Entry::getKey)
                .toList();
        dropped.forEach(occurrence -> {
            begun.remove(occurrence);
            finished.set(occurrence);
        });
    }

    /** Drops all state, after the job has ended. */
    void dropAll() {
        begun.clear();
    }

    /** Returns whether all tasks of all occurrences are done. */
    boolean allDone() {
        return next == count && steps().allMatch(StepState::done);
    }

    /** Returns the finished occurrences that have no state. */
    List<OccurrenceRange> finishedRanges() {
        List<OccurrenceRange> ranges = new ArrayList<>();
        for (int first = finished.nextSetBit(0); first >= 0; ) {
            int end = finished.nextClearBit(first);
            ranges.add(new OccurrenceRange(first, end - 1));
            first = finished.nextSetBit(end);
        }
        return ranges;
    }
}
