package org.teaselwood.policy;

import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * View of the capacity that remains after excluding selected layers of use. Immutable.
 *
 * <p>Resources held by attempts and areas of units overlap, because guaranteed attempts run inside their units. The
 * layers are therefore not added up: cores, memory and slots are those that the more restrictive layer leaves.
 *
 * @param free whether resources that attempts hold or claim are excluded
 * @param promises which areas of guarantee units are excluded
 * @param usable servers that may be used
 * @param cost penalty of a server
 */
record LayeredRoom(boolean free, Promises promises, Predicate<ServerState> usable, ToLongFunction<ServerState> cost)
        implements Room {
    /** Guarantee units whose areas a search must not use. */
    enum Promises {
        /** No units. */
        NONE,
        /** Only units with occupants, which cannot move. */
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
