package org.teaselwood.workload.model;

import java.util.Optional;

/**
 * Configuration of a queue. Immutable.
 *
 * @param name name of the queue
 * @param service name of the service whose backend servers run its tasks
 * @param priority priority of its jobs; 0 is the highest and may preempt all others
 * @param maximumAttempts number of failed runs of a task at which the job fails
 * @param stretch completion-time objective as a multiple of the work
 * @param objectiveMilliseconds constant part of the completion-time objective
 * @param advice present when only the advice service knows which backend servers may run the tasks
 */
public record QueueSettings(
        String name,
        String service,
        int priority,
        int maximumAttempts,
        double stretch,
        long objectiveMilliseconds,
        Optional<AdviceSettings> advice) {}
