package org.teaselwood.model;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a backend server announces of itself. Immutable.
 *
 * @param name stable name, from the settings of its agent
 * @param region region
 * @param dataCentre data centre
 * @param rack rack, unique within its data centre
 * @param capabilities what it is able to do
 * @param accelerators accelerators, numbered from 0; neighbouring numbers are adjacent
 * @param cores processor cores
 * @param memoryMebibytes memory in MiB
 * @param slots executor slots for short requests
 * @param connections most connections of its executor
 * @param speed relative speed, 1.0 for ordinary
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
        int connections,
        double speed) {
    /** Copies the set, ordered, so that runs are reproducible. */
    public BackendServer {
        capabilities = Collections.unmodifiableSet(new TreeSet<>(capabilities));
    }
}
