package org.teaselwood.workload.model;

import java.util.Optional;

/**
 * A queue as configured. Immutable.
 *
 * @param name name of the queue
 * @param service backend servers that run its tasks
 * @param priority 0 comes first and may preempt the others
 * @param maximumAttempts runs of a task that may fail before the job fails
 * @param stretch objective of the completion time as a multiple of the work
 * @param objectiveMilliseconds constant part of that objective
 * @param advice present when only the advice service knows which backend servers may run its tasks
 */
public record QueueSettings(
        String name,
        String service,
        int priority,
        int maximumAttempts,
        double stretch,
        long objectiveMilliseconds,
        Optional<AdviceSettings> advice) {}
