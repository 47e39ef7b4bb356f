package org.teaselwood.workload.placer;

import java.util.Comparator;
import java.util.List;

/**
 * Selects the tasks of a step that may be started while one of them is suspected of crashing servers. Stateless.
 *
 * <p>The tasks of a step run the same program. After a crash one suspected task is started as a probe, and the others
 * wait until it has survived or the job is given up, so that a step with many harmful tasks takes down each server at
 * most once.
 */
final class CrashHold {
    private CrashHold() {}

    /** Returns those of the waiting tasks that may be started now. */
    static List<TaskState> startable(StepState step, List<TaskState> waiting) {
        List<TaskState> suspects = step.tasks.stream()
                .filter(task -> !task.done && task.crashes.isSuspected())
                .toList();
        if (!step.heldAfterCrash || suspects.isEmpty()) {
            return waiting;
        }
        if (suspects.stream().anyMatch(CrashHold::isProbed)) {
            return List.of();
        }
        return suspects.stream()
                .filter(waiting::contains)
                .min(Comparator.comparingInt(task -> -task.crashes.crashes().size()))
                .stream()
                .toList();
    }

    /** Returns whether a run of the task may soon prove it harmless; one without contact to its agent does not. */
    private static boolean isProbed(TaskState task) {
        return task.run != null && task.run.server.connection != null;
    }
}
