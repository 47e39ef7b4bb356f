package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartResources;

/**
 * What one backend server offers and what attempts hold on it. Mutable, confined to its scheduler's thread.
 *
 * <p>Held amounts are counted rather than free ones, so that a server that announces another size, or returns before
 * its lost attempts have ended, needs no correction. At most {@value #MAXIMUM_ACCELERATORS} accelerators are used.
 */
public final class ServerState {
    /** Accelerators of a server beyond this number are not used: the held set is one machine word. */
    public static final int MAXIMUM_ACCELERATORS = 64;

    private final String name;
    private BackendServer announced;
    private boolean reachable;
    private boolean inService = true;
    private boolean quarantined;
    private long refusesUntilMilliseconds = Long.MIN_VALUE;
    /** What attempts hold. */
    final Holding held = new Holding();
    /** What is kept free for attempts that wait for victims to stop. */
    final Holding claimed = new Holding();
    /** What guarantee units cover. */
    final Holding promised = new Holding();
    /** The part of the promised amounts whose units have occupants and therefore cannot move. */
    final Holding anchored = new Holding();
    /** Attempts with a part here, in order of their placement. */
    final List<TrackedAttempt> attempts = new ArrayList<>();

    ServerState(String name) {
        this.name = name;
    }

    /** Name of the backend server. */
    public String name() {
        return name;
    }

    /** What the server announced last, null before its first announcement and after its loss. */
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

    void lose() {
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

    void refuseUntil(long milliseconds) {
        refusesUntilMilliseconds = milliseconds;
    }

    long refusesUntil() {
        return refusesUntilMilliseconds;
    }

    /** Whether the server is known and may take new work now. */
    public boolean isUsable(long nowMilliseconds) {
        return isPresent() && !quarantined && nowMilliseconds >= refusesUntilMilliseconds;
    }

    /** Whether the server is known, reachable and in service. */
    public boolean isPresent() {
        return announced != null && reachable && inService;
    }

    /** Whether nothing is held on the server. */
    public boolean isIdle() {
        return held.isEmpty() && claimed.isEmpty() && promised.isEmpty() && attempts.isEmpty();
    }

    /** Accelerators of the server as a bit set. */
    public long allAccelerators() {
        return announced == null ? 0 : mask(announced.accelerators());
    }

    /** Free accelerators as a bit set. */
    public long freeAccelerators() {
        return allAccelerators() & ~held.accelerators;
    }

    /** Number of free accelerators. */
    public int freeAcceleratorCount() {
        return Long.bitCount(freeAccelerators());
    }

    /** How many parts fit into what is free. */
    public int fit(PartResources part) {
        return announced == null
                ? 0
                : fit(
                        part,
                        freeAccelerators(),
                        announced.cores() - held.cores,
                        announced.memoryMebibytes() - held.memoryMebibytes,
                        announced.slots() - held.slots);
    }

    /** How many parts fit on the empty server. */
    public int fitWhenEmpty(PartResources part) {
        return announced == null
                ? 0
                : fit(part, allAccelerators(), announced.cores(), announced.memoryMebibytes(), announced.slots());
    }

    /** How many parts fit into the given amounts. Exact, because equal runs pack greedily without loss. */
    static int fit(PartResources part, long free, int cores, int memoryMebibytes, int slots) {
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
            count = Math.min(count, runs(free, part.accelerators()));
        }
        return Math.max(0, count);
    }

    /** Number of disjoint runs of the given length in a bit set. */
    static int runs(long free, int length) {
        if (length == 1) {
            return Long.bitCount(free);
        }
        int count = 0;
        long remaining = free;
        while (remaining != 0) {
            int first = Long.numberOfTrailingZeros(remaining);
            int run = Long.numberOfTrailingZeros(~(remaining >>> first));
            count += run / length;
            remaining = first + run >= Long.SIZE ? 0 : remaining & (-1L << (first + run));
        }
        return count;
    }

    /** First position of a free run of the given length, -1 for none; 0 is not a valid length. */
    static int firstRun(long free, int length) {
        long starts = free;
        for (int shift = 1; shift < length && starts != 0; shift++) {
            starts &= free >>> shift;
        }
        return starts == 0 ? -1 : Long.numberOfTrailingZeros(starts);
    }

    /** Position of the shortest free run that holds the given length, at an aligned end of it; -1 for none. */
    static int bestRun(long free, int length) {
        int best = -1;
        int bestSize = Integer.MAX_VALUE;
        long remaining = free;
        while (remaining != 0) {
            int first = Long.numberOfTrailingZeros(remaining);
            int run = Long.numberOfTrailingZeros(~(remaining >>> first));
            if (run >= length && run < bestSize) {
                int last = first + run - length;
                best = first % length != 0 && last % length == 0 ? last : first;
                bestSize = run;
            }
            remaining = first + run >= Long.SIZE ? 0 : remaining & (-1L << (first + run));
        }
        return best;
    }

    /** Bit set of a run; empty for a negative position. */
    static long range(int first, int length) {
        return first < 0 || first >= Long.SIZE ? 0 : mask(length) << first;
    }

    private static long mask(int length) {
        return length >= MAXIMUM_ACCELERATORS ? -1L : (1L << length) - 1;
    }
}
