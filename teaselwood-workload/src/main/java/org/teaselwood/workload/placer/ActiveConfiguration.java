package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.WorkloadConfiguration;

/**
 * Configuration in force: the newest one, and the queues that it dropped and that still have open jobs. Mutable;
 * confined to the placer's duty thread.
 *
 * <p>The former settings of a dropped queue are those that this placer used last. A placer that has not seen the queue
 * uses the settings stored with the job.
 */
final class ActiveConfiguration {
    private WorkloadConfiguration configuration;

    /** Creates the holder of a configuration, null until it is known. */
    ActiveConfiguration(WorkloadConfiguration configuration) {
        this.configuration = configuration;
    }

    Optional<WorkloadConfiguration> current() {
        return Optional.ofNullable(configuration);
    }

    /** Applies a newer configuration to all jobs. */
    void update(WorkloadConfiguration newest, Collection<JobState> jobs) {
        Map<String, QueueSettings> former = new LinkedHashMap<>();
        List<JobState> open = jobs.stream().filter(job -> !job.phase.isFinal()).toList();
        open.forEach(job -> queueOf(job).ifPresent(queue -> former.put(queue.name(), queue)));
        configuration = newest.withRetainedQueues(former);
        jobs.forEach(this::apply);
    }

    /** Applies the configuration to a job. */
    void apply(JobState job) {
        if (configuration == null) {
            return;
        }
        if (!job.phase.isFinal()) {
            job.specification
                    .queueSettings()
                    .ifPresent(stored -> configuration = configuration.withRetainedQueue(stored));
        }
        queueOf(job).ifPresent(queue -> job.maximumAttempts = queue.maximumAttempts());
    }

    private Optional<QueueSettings> queueOf(JobState job) {
        return current().flatMap(active -> active.queue(job.specification.queue()));
    }
}
