package org.teaselwood.entry.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Ranking of entries by rendezvous hashing: every process computes the same order for the same entries, and the loss of
 * one entry does not change the order of the others. Stateless.
 */
public final class RendezvousRanking {
    private RendezvousRanking() {}

    /** Returns the entries of a region in order of rank; equal hashes are ordered by identifier. */
    public static List<String> rank(String region, Collection<String> entries) {
        return entries.stream()
                .sorted(Comparator.comparingLong((String entry) -> hash(region, entry))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long hash(String region, String entry) {
        CRC32C crc = new CRC32C();
        crc.update((region + '\n' + entry).getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
