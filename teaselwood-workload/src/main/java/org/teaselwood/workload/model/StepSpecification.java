package org.teaselwood.workload.model;

import java.util.List;

/**
 * One step of a job: a number of equal tasks. Immutable.
 *
 * @param count number of tasks
 * @param resources what each task takes
 * @param estimateMilliseconds the submitter's estimate of a task's run time; no decision trusts it
 * @param after numbers of the steps that must be done first
 * @param checkpointing whether a task saves its progress
 * @param gang whether the tasks only work together
 * @param sameRack whether the tasks slow down when they run on more than one rack
 * @param selector label that the backend server must have, empty for none
 * @param affinityRack rack that holds the data, empty for none
 * @param maximumPerServer most tasks of the step on one backend server, 0 for no limit
 * @param longRunning whether the tasks run until the job is cancelled
 * @param fills whether the tasks use only processor time that others leave, so that it is not reserved
 * @param latencyTargetMilliseconds bound of the tail latency of a task that serves users, 0 for none
 * @param mayMiss number of tasks that the system may interrupt at once
 */
public record StepSpecification(
        int count,
        Resources resources,
        long estimateMilliseconds,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String selector,
        String affinityRack,
        int maximumPerServer,
        boolean longRunning,
        boolean fills,
        long latencyTargetMilliseconds,
        int mayMiss) {
    /** Copies the list. */
    public StepSpecification {
        after = List.copyOf(after);
    }

    /** What a placement has to reserve: a filling task reserves no processor. */
    public Resources reserved() {
        return fills ? new Resources(0, resources.memoryMebibytes(), resources.accelerators()) : resources;
    }
}
