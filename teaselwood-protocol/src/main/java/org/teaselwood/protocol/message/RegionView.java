package org.teaselwood.protocol.message;

import java.util.List;
import java.util.Map;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.Term;

/**
 * The state of a region as the placer sees it. Immutable.
 *
 * @param region name of the region
 * @param placer identifier of the entry that acts as placer
 * @param term its term
 * @param configurationRevision revision in force at the placer
 * @param lowestRevision lowest revision in force at any live entry
 * @param storeReachable whether the key-value service answered last
 * @param fragmentation share of idle accelerators that cannot serve the largest waiting or guaranteed shape, 0 to 1
 * @param entries entries seen alive
 * @param servers backend servers, ordered by name
 * @param waiting jobs that wait, by team
 * @param running jobs that run, by team
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
     * One backend server.
     *
     * @param server its description
     * @param condition {@code in-service}, {@code draining}, {@code leaving}, {@code suspect}, {@code quarantined} or
     *     {@code out-of-service}
     * @param parts parts that hold its resources
     * @param teams team of each part, in the same order
     */
    public record ServerView(BackendServer server, String condition, List<PartReport> parts, List<String> teams) {}
}
