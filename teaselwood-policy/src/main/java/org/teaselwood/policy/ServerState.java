package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartResources;

/**
 * Resources that one backend server announced and that attempts hold. Mutable, confined to its scheduler's thread.
 *
 * <p>Held rather than free resources are counted, so that no correction is needed if a server announces a different
 * size or returns before its lost attempts have ended. At most {@value #MAXIMUM_ACCELERATORS} accelerators are used.
 */
public final class ServerState {
    /** Maximum number of accelerators used on a server, because the held set is a 64-bit word. */
    public static final int MAXIMUM_ACCELERATORS = 64;

    private final String name;
    private BackendServer announced;
    private boolean reachable;
    private boolean inService = true;
    private boolean quarantined;
    private long backoffUntilMilliseconds = Long.MIN_VALUE;
    /** Resources that attempts hold. */
    final ResourceSum held = new ResourceSum();
    /** Resources kept free for jobs with claims, which wait for victims to stop. */
    final ResourceSum claimed = new ResourceSum();
    /** Resources covered by guarantee units. */
    final ResourceSum unitArea = new ResourceSum();
    /** Resources covered by guarantee units that have occupants and therefore cannot move. */
    final ResourceSum occupiedUnitArea = new ResourceSum();
    /** Attempts with a part on the server, in order of their placement. */
    final List<TrackedAttempt> attempts = new ArrayList<>();

    ServerState(String name) {
        this.name = name;
    }

    /** Returns the name of the backend server. */
    public String name() {
        return name;
    }

    /** Returns the latest announcement of the server, or null before the first one and after the loss of the server. */
    public BackendServer announced() {
        return announced;
    }

    void announce(BackendServer server) {
        announced = server;
        reachable = true;
    }

    void setReachable(boolean value) {
        reachable = value;
    }

    void markLost() {
        announced = null;
        reachable = false;
    }

    void setInService(boolean value) {
        inService = value;
    }

    boolean isInService() {
        return inService;
    }

    void setQuarantined(boolean value) {
        quarantined = value;
    }

    boolean isQuarantined() {
        return quarantined;
    }

    void backOffUntil(long milliseconds) {
        backoffUntilMilliseconds = milliseconds;
    }

    long backoffUntil() {
        return backoffUntilMilliseconds;
    }

    /** Returns whether the server may accept new work now: it is available, not quarantined and not in backoff. */
    public boolean isUsable(long nowMilliseconds) {
        return isAvailable() && !quarantined && nowMilliseconds >= backoffUntilMilliseconds;
    }

    /** Returns whether the server is known, reachable and in service. */
    public boolean isAvailable() {
        return announced != null && reachable && inService;
    }

    /** Returns whether nothing is held, claimed or guaranteed on the server. */
    public boolean isUnused() {
        return held.isEmpty() && claimed.isEmpty() && unitArea.isEmpty() && attempts.isEmpty();
    }

    /** Returns the accelerators of the server as a bit set. */
    public long allAccelerators() {
        return announced == null ? 0 : mask(announced.accelerators());
    }

    /** Returns the free accelerators as a bit set. */
    public long freeAccelerators() {
        return allAccelerators() & ~held.accelerators;
    }

    /** Returns the number of free accelerators. */
    public int freeAcceleratorCount() {
        return Long.bitCount(freeAccelerators());
    }

    /** Returns the number of parts that fit into the free resources. */
    public int countFittingParts(PartResources part) {
        return announced == null
                ? 0
                : countFittingParts(
                        part,
                        freeAccelerators(),
                        announced.cores() - held.cores,
                        announced.memoryMebibytes() - held.memoryMebibytes,
                        announced.slots() - held.slots);
    }

    /** Returns the number of parts that would fit if the server were empty. */
    public int countFittingPartsWhenEmpty(PartResources part) {
        return announced == null
                ? 0
                : countFittingParts(
                        part, allAccelerators(), announced.cores(), announced.memoryMebibytes(), announced.slots());
    }

    /** Returns the number of parts that fit into the given amounts. Exact, because equal ranges pack without loss. */
    static int countFittingParts(PartResources part, long free, int cores, int memoryMebibytes, int slots) {
        int count = Integer.MAX_VALUE;
        if (part.cores() > 0) {
            count = Math.min(count, cores / part.cores());
        }
        if (part.memoryMebibytes() > 0) {
            count = Math.min(count, memoryMebibytes / part.memoryMebibytes());
        }
        if (part.slots() > 0) {
            count = Math.min(count, slots / part.slots());
        }
        if (part.accelerators() > 0 && count > 0) {
            count = Math.min(count, countRanges(free, part.accelerators()));
        }
        return Math.max(0, count);
    }

    /** Returns the number of disjoint ranges of the given length in a bit set. */
    static int countRanges(long free, int length) {
        if (length == 1) {
            return Long.bitCount(free);
        }
        int count = 0;
        long remaining = free;
        while (remaining != 0) {
            int first = Long.numberOfTrailingZeros(remaining);
            int rangeLength = Long.numberOfTrailingZeros(~(remaining >>> first));
            count += rangeLength / length;
            remaining = first + rangeLength >= Long.SIZE ? 0 : remaining & (-1L << (first + rangeLength));
        }
        return count;
    }

    /** Returns the first position of a free range of the given positive length, or -1 if there is none. */
    static int firstFitRange(long free, int length) {
        long starts = free;
        for (int shift = 1; shift < length && starts != 0; shift++) {
            starts &= free >>> shift;
        }
        return starts == 0 ? -1 : Long.numberOfTrailingZeros(starts);
    }

    /** Returns the position at an aligned end of the shortest free range of at least the given length, or -1. */
    static int bestFitRange(long free, int length) {
        int best = -1;
        int bestSize = Integer.MAX_VALUE;
        long remaining = free;
        while (remaining != 0) {
            int first = Long.numberOfTrailingZeros(remaining);
            int rangeLength = Long.numberOfTrailingZeros(~(remaining >>> first));
            if (rangeLength >= length && rangeLength < bestSize) {
                int last = first + rangeLength - length;
                best = first % length != 0 && last % length == 0 ? last : first;
                bestSize = rangeLength;
            }
            remaining = first + rangeLength >= Long.SIZE ? 0 : remaining & (-1L << (first + rangeLength));
        }
        return best;
    }

    /** Returns the bit set of a range; empty for a negative position. */
    static long rangeMask(int first, int length) {
        return first < 0 || first >= Long.SIZE ? 0 : mask(length) << first;
    }

    private static long mask(int length) {
        return length >= MAXIMUM_ACCELERATORS ? -1L : (1L << length) - 1;
    }
}
