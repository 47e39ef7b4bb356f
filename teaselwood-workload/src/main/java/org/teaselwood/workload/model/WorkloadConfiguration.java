package org.teaselwood.workload.model;

import java.util.HashMap;
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

    /** This configuration with queues that it does not name any more, so that their open jobs can end. */
    public WorkloadConfiguration keeping(Map<String, QueueSettings> former) {
        Map<String, QueueSettings> all = new HashMap<>(former);
        all.putAll(queues);
        return new WorkloadConfiguration(version, all, guaranteedAccelerators);
    }

    /** A queue by name. */
    public Optional<QueueSettings> queue(String name) {
        return Optional.ofNullable(queues.get(name));
    }
}
