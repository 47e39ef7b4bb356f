package org.teaselwood.model;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Description of a backend server, as announced by its agent. Immutable.
 *
 * @param name stable name, from the settings of the agent
 * @param region name of the region
 * @param dataCentre name of the data centre
 * @param rack name of the rack, unique within its data centre
 * @param capabilities names of the features that jobs may require
 * @param accelerators number of accelerators; indexes start at 0 and consecutive indexes are adjacent
 * @param cores number of processor cores
 * @param memoryMebibytes memory in MiB
 * @param slots number of executor slots for short requests
 * @param maximumConnections maximum number of connections of its executor
 * @param speed relative speed, 1.0 for a standard server
 */
public record BackendServer(
        String name,
        String region,
        String dataCentre,
        String rack,
        Set<String> capabilities,
        int accelerators,
        int cores,
        int memoryMebibytes,
        int slots,
        int maximumConnections,
        double speed) {
    /** Copies the set in sorted order, so that decisions are reproducible. */
    public BackendServer {
        capabilities = Collections.unmodifiableSet(new TreeSet<>(capabilities));
    }
}
