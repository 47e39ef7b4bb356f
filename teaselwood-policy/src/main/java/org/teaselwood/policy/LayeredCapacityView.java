package org.teaselwood.policy;

import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * View of the capacity that remains after excluding selected layers of use. Immutable.
 *
 * <p>Resources held by attempts and areas of units overlap, because guaranteed attempts run inside their units. The
 * layers are therefore not added up: cores, memory and slots are those that the more restrictive layer leaves.
 *
 * @param onlyFree whether resources that attempts hold or claim are excluded
 * @param excludedUnits which areas of guarantee units are excluded
 * @param usable servers that may be used
 * @param cost penalty of a server
 */
record LayeredCapacityView(
        boolean onlyFree, ExcludedUnits excludedUnits, Predicate<ServerState> usable, ToLongFunction<ServerState> cost)
        implements CapacityView {
    /** Guarantee units whose areas a search must not use. */
    enum ExcludedUnits {
        /** No units. */
        NONE,
        /** Only units with occupants, which cannot move. */
        OCCUPIED,
        /** All units. */
        ALL
    }

    LayeredCapacityView(boolean onlyFree, ExcludedUnits excludedUnits, Predicate<ServerState> usable) {
        this(onlyFree, excludedUnits, usable, server -> 0);
    }

    private ResourceSum excludedArea(ServerState server) {
        return switch (excludedUnits) {
            case NONE -> ResourceSum.EMPTY;
            case OCCUPIED -> server.occupiedUnitArea;
            case ALL -> server.unitArea;
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
        long taken = onlyFree ? server.held.accelerators | server.claimed.accelerators : 0;
        return server.allAccelerators() & ~taken & ~excludedArea(server).accelerators;
    }

    @Override
    public int cores(ServerState server) {
        int taken = onlyFree ? server.held.cores + server.claimed.cores : 0;
        return server.announced().cores() - Math.max(taken, excludedArea(server).cores);
    }

    @Override
    public int memoryMebibytes(ServerState server) {
        int taken = onlyFree ? server.held.memoryMebibytes + server.claimed.memoryMebibytes : 0;
        return server.announced().memoryMebibytes() - Math.max(taken, excludedArea(server).memoryMebibytes);
    }

    @Override
    public int slots(ServerState server) {
        int taken = onlyFree ? server.held.slots + server.claimed.slots : 0;
        return server.announced().slots() - Math.max(taken, excludedArea(server).slots);
    }
}
