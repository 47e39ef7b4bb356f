package org.teaselwood.policy;

import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Room that is left after the chosen layers. Immutable view.
 *
 * <p>Attempts and promises overlap, because guaranteed attempts lie inside their units; the layers are therefore not
 * summed, and amounts are what the stricter layer leaves.
 *
 * @param free whether what attempts hold or claim is left out
 * @param promises which promises are left out
 * @param usable servers that may be used
 * @param cost penalty of a server
 */
record LayeredRoom(boolean free, Promises promises, Predicate<ServerState> usable, ToLongFunction<ServerState> cost)
        implements Room {
    /** Which guarantee units a search keeps clear of. */
    enum Promises {
        /** Units do not matter. */
        NONE,
        /** Only units with occupants. */
        ANCHORED,
        /** All units. */
        ALL
    }

    LayeredRoom(boolean free, Promises promises, Predicate<ServerState> usable) {
        this(free, promises, usable, server -> 0);
    }

    private Holding promised(ServerState server) {
        return switch (promises) {
            case NONE -> Holding.NOTHING;
            case ANCHORED -> server.anchored;
            case ALL -> server.promised;
        };
    }

    @Override
    public boolean accepts(ServerState server) {
        return usable.test(server);
    }

    @Override
    public long penalty(ServerState server) {
        return cost.applyAsLong(server);
    }

    @Override
    public long accelerators(ServerState server) {
        long taken = free ? server.held.accelerators | server.claimed.accelerators : 0;
        return server.allAccelerators() & ~taken & ~promised(server).accelerators;
    }

    @Override
    public int cores(ServerState server) {
        int taken = free ? server.held.cores + server.claimed.cores : 0;
        return server.announced().cores() - Math.max(taken, promised(server).cores);
    }

    @Override
    public int memoryMebibytes(ServerState server) {
        int taken = free ? server.held.memoryMebibytes + server.claimed.memoryMebibytes : 0;
        return server.announced().memoryMebibytes() - Math.max(taken, promised(server).memoryMebibytes);
    }

    @Override
    public int slots(ServerState server) {
        int taken = free ? server.held.slots + server.claimed.slots : 0;
        return server.announced().slots() - Math.max(taken, promised(server).slots);
    }
}
