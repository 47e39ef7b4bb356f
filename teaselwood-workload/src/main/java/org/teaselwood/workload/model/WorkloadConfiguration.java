package org.teaselwood.workload.model;

import java.util.Map;
import java.util.Optional;

/**
 * The part of a configuration that placement needs. Immutable.
 *
 * @param version number of the configuration; only rises
 * @param queues queues by name
 * @param guaranteedAccelerators accelerators that belong to each team for its jobs of priority 0
 */
public record WorkloadConfiguration(
        long version, Map<String, QueueSettings> queues, Map<String, Integer> guaranteedAccelerators) {
    /** Copies the maps. */
    public WorkloadConfiguration {
        queues = Map.copyOf(queues);
        guaranteedAccelerators = Map.copyOf(guaranteedAccelerators);
    }

    /** A queue by name. */
    public Optional<QueueSettings> queue(String name) {
        return Optional.ofNullable(queues.get(name));
    }
}
