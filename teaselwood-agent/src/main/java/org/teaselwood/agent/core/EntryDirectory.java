package org.teaselwood.agent.core;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;

/**
 * Selects the entry to connect to: entries of the local data centre first, in an order that differs per agent so that
 * the agents spread over the entries, then other entries, then the seeds of the settings. After every failure the next
 * one is tried, with exponential backoff and full jitter, so that the agents do not all reconnect to a restarted entry
 * at once. Deterministic for a given source of random numbers. Not thread-safe.
 */
public final class EntryDirectory {
    private static final long FIRST_DELAY_MILLISECONDS = 100;
    private static final long LONGEST_DELAY_MILLISECONDS = 5_000;

    private final String server;
    private final String dataCentre;
    private final List<EntryAddress> seeds;
    private final RandomSource random;
    private List<EntryAddress> entries = List.of();
    private Optional<EntryAddress> lastEntry = Optional.empty();
    private int failedAttempts;

    /** Source of random numbers for the retry delays. */
    @FunctionalInterface
    public interface RandomSource {
        /** Returns a number from 0 (inclusive) to the bound (exclusive). */
        long nextLong(long bound);
    }

    /**
     * Creates a directory that has only the seeds.
     *
     * @param server name of the backend server
     * @param dataCentre its data centre
     * @param seeds addresses from the settings, at least one
     * @param random source of random numbers for the retry delays
     */
    public EntryDirectory(String server, String dataCentre, List<EntryAddress> seeds, RandomSource random) {
        this.server = server;
        this.dataCentre = dataCentre;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /** Replaces the known entries by those received from the connected entry, and resets the backoff. */
    public void updateEntries(String connectedEntry, List<EntryAddress> newEntries) {
        failedAttempts = 0;
        entries = newEntries.stream().sorted(preferenceOrder()).toList();
        lastEntry = entries.stream()
                .filter(entry -> entry.entry().equals(connectedEntry))
                .findFirst()
                .or(() -> lastEntry);
    }

    /** Returns whether the last selected entry is in another data centre although the local one has entries. */
    public boolean shouldChangeDataCentre() {
        return !entries.isEmpty()
                && entries.getFirst().dataCentre().equals(dataCentre)
                && lastEntry
                        .filter(entry -> entry.dataCentre().equals(dataCentre))
                        .isEmpty();
    }

    /** Returns the entry to connect to: after a failure the one that follows the last, otherwise the preferred one. */
    public EntryAddress nextEntry() {
        List<EntryAddress> candidates =
                Stream.concat(entries.stream(), seeds.stream()).toList();
        int start = failedAttempts == 0 ? preferredIndex(candidates) : indexOfLastEntry(candidates) + 1;
        EntryAddress selected = candidates.get(start % candidates.size());
        lastEntry = Optional.of(selected);
        return selected;
    }

    /** Records a failed attempt to connect or a lost connection. */
    public void recordFailure() {
        failedAttempts++;
    }

    /** Returns the delay before the next attempt to connect, in milliseconds. */
    public long delayMilliseconds() {
        long bound = FIRST_DELAY_MILLISECONDS << Math.min(failedAttempts, 10);
        return 1 + random.nextLong(Math.min(bound, LONGEST_DELAY_MILLISECONDS));
    }

    /** Returns the index of the most preferred entry other than the last one. */
    private int preferredIndex(List<EntryAddress> candidates) {
        return lastEntry.isPresent() && candidates.getFirst().equals(lastEntry.get()) ? 1 : 0;
    }

    private int indexOfLastEntry(List<EntryAddress> candidates) {
        return lastEntry.map(candidates::indexOf).orElse(-1);
    }

    private Comparator<EntryAddress> preferenceOrder() {
        Comparator<EntryAddress> localFirst =
                Comparator.comparing(entry -> !entry.dataCentre().equals(dataCentre));
        return localFirst.thenComparingLong(this::hash).thenComparing(EntryAddress::entry);
    }

    private long hash(EntryAddress entry) {
        try {
            byte[] text = (server + "/" + entry.entry()).getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text))
                    .getLong();
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
