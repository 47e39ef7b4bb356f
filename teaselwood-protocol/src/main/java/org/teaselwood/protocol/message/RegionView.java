package org.teaselwood.protocol.message;

import java.util.List;
import java.util.Map;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.Term;

/**
 * State of a region as known to the placer. Immutable.
 *
 * @param region name of the region
 * @param placer identifier of the entry that acts as placer
 * @param term term of the placer
 * @param configurationRevision configuration revision in force at the placer
 * @param lowestRevision lowest configuration revision in force at any live entry
 * @param storeReachable whether the last call to the key-value service was answered
 * @param fragmentation share of idle accelerators that cannot serve the largest waiting or guaranteed shape, 0 to 1
 * @param entries live entries
 * @param servers backend servers, ordered by name
 * @param waiting number of waiting jobs, by team
 * @param running number of running jobs, by team
 */
public record RegionView(
        String region,
        String placer,
        Term term,
        long configurationRevision,
        long lowestRevision,
        boolean storeReachable,
        double fragmentation,
        List<AgentCommand.EntryAddress> entries,
        List<ServerView> servers,
        Map<String, Integer> waiting,
        Map<String, Integer> running) {
    /**
     * State of one backend server.
     *
     * @param server description of the backend server
     * @param condition {@code in-service}, {@code draining}, {@code leaving}, {@code suspect}, {@code quarantined} or
     *     {@code out-of-service}
     * @param parts parts that hold resources of the backend server
     * @param teams team of each part, in the same order
     */
    public record ServerView(BackendServer server, String condition, List<PartReport> parts, List<String> teams) {}
}
