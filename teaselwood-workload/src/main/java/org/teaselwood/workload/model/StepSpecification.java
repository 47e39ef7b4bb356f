package org.teaselwood.workload.model;

import java.util.List;

/**
 * Specification of one step of a job: a number of identical tasks. Immutable.
 *
 * @param count number of tasks
 * @param resources resources that each task requires
 * @param estimateMilliseconds the submitter's estimate of a task's run time, which may be wrong by a factor of two and
 *     more; used only for decisions on preemption
 * @param dependencies numbers of the steps that must be completed first
 * @param checkpointing whether a task saves checkpoints of its progress
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether the tasks slow down when they run on more than one rack
 * @param selector label that the backend server must have, empty for none
 * @param affinityRack rack that holds the data, empty for none
 * @param maximumPerServer maximum number of tasks of the step on one backend server, 0 for no limit
 * @param longRunning whether the tasks run until the job is cancelled
 * @param bestEffort whether the tasks use only processor time that other tasks leave idle, so that none is reserved for
 *     them
 * @param latencyTargetMilliseconds upper bound of the tail latency of a task that serves users, 0 for none
 * @param maximumUnavailable maximum number of tasks that the system may interrupt at the same time
 */
public record StepSpecification(
        int count,
        Resources resources,
        long estimateMilliseconds,
        List<Integer> dependencies,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String selector,
        String affinityRack,
        int maximumPerServer,
        boolean longRunning,
        boolean bestEffort,
        long latencyTargetMilliseconds,
        int maximumUnavailable) {
    /** Creates a specification with a copy of the list. */
    public StepSpecification {
        dependencies = List.copyOf(dependencies);
    }

    /** Returns the resources that a placement reserves; a best-effort task reserves no processor time. */
    public Resources reserved() {
        return bestEffort ? new Resources(0, resources.memoryMebibytes(), resources.accelerators()) : resources;
    }
}
