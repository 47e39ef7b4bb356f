package org.teaselwood.entry.core;

import java.util.List;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/**
 * What an entry core must know of its process. Immutable.
 *
 * @param self where this entry listens, with its identifier and data centre
 * @param region its region
 * @param incarnation differs for every start of the process
 * @param seeds addresses to try for other entries; the identifier of a seed may be empty or that of the balancer
 * @param epochMilliseconds wall clock time at time 0 of the core's monotonic clock, since the epoch
 * @param timings intervals and limits
 */
public record EntryCoreSettings(
        EntryAddress self,
        String region,
        String incarnation,
        List<EntryAddress> seeds,
        long epochMilliseconds,
        EntryTimings timings) {
    /** Copies the list. */
    public EntryCoreSettings {
        seeds = List.copyOf(seeds);
    }

    /** Settings with the default timings. */
    public static EntryCoreSettings of(
            EntryAddress self, String region, String incarnation, List<EntryAddress> seeds, long epochMilliseconds) {
        return new EntryCoreSettings(self, region, incarnation, seeds, epochMilliseconds, EntryTimings.DEFAULT);
    }
}
