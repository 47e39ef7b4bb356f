package org.teaselwood.entry.core;

import java.util.List;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/**
 * Settings that an entry core gets from its process. Immutable.
 *
 * @param self address at which this entry listens, with its identifier and data centre
 * @param region region of the entry
 * @param incarnation identifier that is unique to each start of the process
 * @param seeds addresses at which other entries are looked up; a seed's identifier may be empty or a load balancer's
 * @param epochMilliseconds wall-clock time at time 0 of the core's monotonic clock, in milliseconds since the epoch
 * @param timings intervals and limits
 */
public record EntryCoreSettings(
        EntryAddress self,
        String region,
        String incarnation,
        List<EntryAddress> seeds,
        long epochMilliseconds,
        EntryTimings timings) {
    /** Copies the list of seeds. */
    public EntryCoreSettings {
        seeds = List.copyOf(seeds);
    }

    /** Returns settings with the default timings. */
    public static EntryCoreSettings of(
            EntryAddress self, String region, String incarnation, List<EntryAddress> seeds, long epochMilliseconds) {
        return new EntryCoreSettings(self, region, incarnation, seeds, epochMilliseconds, EntryTimings.DEFAULT);
    }
}
