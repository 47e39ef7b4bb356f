package org.teaselwood.policy;

import java.util.Map;
import java.util.function.Predicate;

/**
 * View of the capacity inside the area of a unit. Immutable.
 *
 * @param unit the unit
 * @param occupied resources of the area that occupants hold, by server
 * @param onlyFree whether resources that attempts hold or claim are excluded
 * @param usable servers that may be used
 */
record UnitCapacityView(
        GuaranteeUnit unit, Map<String, ResourceSum> occupied, boolean onlyFree, Predicate<ServerState> usable)
        implements CapacityView {
    UnitCapacityView(GuaranteeUnit unit, boolean onlyFree, Predicate<ServerState> usable) {
        this(unit, unit.occupied, onlyFree, usable);
    }

    private ResourceSum area(ServerState server) {
        return unit.area.getOrDefault(server.name(), ResourceSum.EMPTY);
    }

    private ResourceSum occupied(ServerState server) {
        return occupied.getOrDefault(server.name(), ResourceSum.EMPTY);
    }

    @Override
    public boolean accepts(ServerState server) {
        return usable.test(server);
    }

    @Override
    public long accelerators(ServerState server) {
        long inside = area(server).accelerators & ~occupied(server).accelerators;
        return onlyFree ? inside & server.freeAccelerators() & ~server.claimed.accelerators : inside;
    }

    @Override
    public int cores(ServerState server) {
        int inside = area(server).cores - occupied(server).cores;
        int outside = server.announced().cores() - server.held.cores - server.claimed.cores;
        return onlyFree ? Math.min(inside, outside) : inside;
    }

    @Override
    public int memoryMebibytes(ServerState server) {
        int inside = area(server).memoryMebibytes - occupied(server).memoryMebibytes;
        int outside =
                server.announced().memoryMebibytes() - server.held.memoryMebibytes - server.claimed.memoryMebibytes;
        return onlyFree ? Math.min(inside, outside) : inside;
    }

    @Override
    public int slots(ServerState server) {
        int inside = area(server).slots - occupied(server).slots;
        int outside = server.announced().slots() - server.held.slots - server.claimed.slots;
        return onlyFree ? Math.min(inside, outside) : inside;
    }
}
