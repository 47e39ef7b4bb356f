package org.teaselwood.workload.model;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Part of a configuration that placement uses. Immutable.
 *
 * @param version version number of the configuration; increases with each change
 * @param queues queues by name
 * @param guaranteedAccelerators number of accelerators guaranteed to each team for its jobs of priority 0, by team
 */
public record WorkloadConfiguration(
        long version, Map<String, QueueSettings> queues, Map<String, Integer> guaranteedAccelerators) {
    /** Creates a configuration with copies of the maps. */
    public WorkloadConfiguration {
        queues = Map.copyOf(queues);
        guaranteedAccelerators = Map.copyOf(guaranteedAccelerators);
    }

    /** Returns this configuration with former queues that it no longer contains, so that their open jobs can end. */
    public WorkloadConfiguration withRetainedQueues(Map<String, QueueSettings> former) {
        Map<String, QueueSettings> all = new HashMap<>(former);
        all.putAll(queues);
        return new WorkloadConfiguration(version, all, guaranteedAccelerators);
    }

    /** Returns this configuration with a former queue if it contains none of that name. */
    public WorkloadConfiguration withRetainedQueue(QueueSettings former) {
        return queues.containsKey(former.name()) ? this : withRetainedQueues(Map.of(former.name(), former));
    }

    /** Returns the queue of the given name, empty if there is none. */
    public Optional<QueueSettings> queue(String name) {
        return Optional.ofNullable(queues.get(name));
    }
}
