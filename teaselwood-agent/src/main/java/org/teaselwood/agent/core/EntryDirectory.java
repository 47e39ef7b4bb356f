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
 * Chooses the entry to connect to: those of the own data centre first, each agent in its own order so that the agents
 * spread over the entries, then the others, then the seeds of the settings. Every failure moves to the next one; the
 * delay before a try grows exponentially with full jitter, so that a restarted entry is not met by all agents at once.
 * Deterministic for a given source of random numbers. Not thread-safe.
 */
public final class EntryDirectory {
    private static final long FIRST_DELAY_MILLISECONDS = 100;
    private static final long LONGEST_DELAY_MILLISECONDS = 5_000;

    private final String server;
    private final String dataCentre;
    private final List<EntryAddress> seeds;
    private final RandomDelay random;
    private List<EntryAddress> entries = List.of();
    private Optional<EntryAddress> last = Optional.empty();
    private int tries;

    /** Source of random delays. */
    @FunctionalInterface
    public interface RandomDelay {
        /** A number from 0 to below the bound. */
        long below(long bound);
    }

    /**
     * A directory that knows only seeds.
     *
     * @param server name of the backend server
     * @param dataCentre its data centre
     * @param seeds addresses from the settings, at least one
     */
    public EntryDirectory(String server, String dataCentre, List<EntryAddress> seeds, RandomDelay random) {
        this.server = server;
        this.dataCentre = dataCentre;
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /** The connected entry told the entries of the region; delays start from the beginning. */
    public void learned(String connectedEntry, List<EntryAddress> learned) {
        tries = 0;
        entries = learned.stream().sorted(preference()).toList();
        last = entries.stream()
                .filter(entry -> entry.entry().equals(connectedEntry))
                .findFirst()
                .or(() -> last);
    }

    /** Whether the last entry is in another data centre while the own one has entries. */
    public boolean prefersAnother() {
        return !entries.isEmpty()
                && entries.getFirst().dataCentre().equals(dataCentre)
                && last.filter(entry -> entry.dataCentre().equals(dataCentre)).isEmpty();
    }

    /** The next entry to try: the one after the last in order of preference. */
    public EntryAddress next() {
        List<EntryAddress> candidates =
                Stream.concat(entries.stream(), seeds.stream()).toList();
        int start = tries == 0 ? preferredIndex(candidates) : indexOfLast(candidates) + 1;
        EntryAddress chosen = candidates.get(start % candidates.size());
        last = Optional.of(chosen);
        return chosen;
    }

    /** Counts a failed try or a lost connection. */
    public void failed() {
        tries++;
    }

    /** Time to wait before the next try, in milliseconds. */
    public long delayMilliseconds() {
        long bound = FIRST_DELAY_MILLISECONDS << Math.min(tries, 10);
        return 1 + random.below(Math.min(bound, LONGEST_DELAY_MILLISECONDS));
    }

    /** The most preferred entry that is not the last one. */
    private int preferredIndex(List<EntryAddress> candidates) {
        return last.isPresent() && candidates.getFirst().equals(last.get()) ? 1 : 0;
    }

    private int indexOfLast(List<EntryAddress> candidates) {
        return last.map(candidates::indexOf).orElse(-1);
    }

    private Comparator<EntryAddress> preference() {
        Comparator<EntryAddress> ownFirst =
                Comparator.comparing(entry -> !entry.dataCentre().equals(dataCentre));
        return ownFirst.thenComparingLong(this::hash).thenComparing(EntryAddress::entry);
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
