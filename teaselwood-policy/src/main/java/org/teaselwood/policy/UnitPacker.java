package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.teaselwood.model.PartResources;
import org.teaselwood.policy.LayeredCapacityView.ExcludedUnits;

/**
 * Finds positions for guarantee units. Confined to its scheduler's thread.
 *
 * <p>Packing is greedy: the largest parts first, each shape in the cell and on the servers with the least remaining
 * capacity. If part sizes are powers of two, all servers are equal and there is one level of adjacency, this is exact,
 * as in buddy allocation. Otherwise it is conservative: it may fail to find an existing packing, in which case nothing
 * moves and the shortfall is reported or the configuration is refused. It never reports a packing that does not exist.
 */
final class UnitPacker {
    /**
     * Order by decreasing part size, because large parts have the fewest possible positions; tight adjacency levels go
     * before loose ones.
     */
    private static final Comparator<GuaranteeUnit> LARGEST_PARTS_FIRST = Comparator.<GuaranteeUnit>comparingInt(
                    unit -> -unit.shape.part().accelerators())
            .thenComparing(unit -> unit.shape.adjacency())
            .thenComparingInt(unit -> -unit.shape.parts());

    /** Order by decreasing size of the whole shape, tried if {@link #LARGEST_PARTS_FIRST} fails. */
    private static final Comparator<GuaranteeUnit> LARGEST_SHAPES_FIRST = Comparator.<GuaranteeUnit>comparingInt(
                    unit -> -unit.shape.totalAccelerators())
            .thenComparing(unit -> unit.shape.adjacency());

    /** Maximum number of empty units that one move may relocate, which bounds the time of a decision. */
    private static final int MAXIMUM_DISPLACED_UNITS = 8;

    private final Cluster cluster;
    private final GuaranteePlan plan;

    UnitPacker(Cluster cluster, GuaranteePlan plan) {
        this.cluster = cluster;
        this.plan = plan;
    }

    /** Returns whether a server can host guarantee units: it is known, reachable, in service and not quarantined. */
    static boolean canHostUnits(ServerState server) {
        return server.isAvailable() && !server.isQuarantined();
    }

    /** Packs all given unplaced units, or changes nothing and returns false. Other units do not move. */
    boolean packAll(List<GuaranteeUnit> wanted) {
        return packAll(wanted, LARGEST_PARTS_FIRST) || packAll(wanted, LARGEST_SHAPES_FIRST);
    }

    private boolean packAll(List<GuaranteeUnit> wanted, Comparator<GuaranteeUnit> order) {
        List<GuaranteeUnit> done = new ArrayList<>();
        for (GuaranteeUnit unit : wanted.stream().sorted(order).toList()) {
            if (!pack(unit)) {
                done.forEach(plan::unplace);
                return false;
            }
            done.add(unit);
        }
        return true;
    }

    private boolean pack(GuaranteeUnit unit) {
        LayeredCapacityView capacity =
                new LayeredCapacityView(false, ExcludedUnits.ALL, capable(unit, UnitPacker::canHostUnits));
        return placeIfFound(unit, PlacementSearch.find(cluster, unit.shape, capacity));
    }

    private boolean placeIfFound(GuaranteeUnit unit, List<PartPlacement> found) {
        if (!found.isEmpty()) {
            plan.place(unit, found);
        }
        return !found.isEmpty();
    }

    private static Predicate<ServerState> capable(GuaranteeUnit unit, Predicate<ServerState> usable) {
        return server -> usable.test(server) && Cluster.isCapable(server, unit.capabilities);
    }

    /**
     * Moves an empty unit to free capacity, relocating at most {@value #MAXIMUM_DISPLACED_UNITS} other empty units.
     * Changes nothing and returns false if that is impossible.
     */
    boolean moveToFree(GuaranteeUnit unit, Predicate<ServerState> usable) {
        List<PartPlacement> origin = unit.placements;
        plan.unplace(unit);
        LayeredCapacityView outsideUnits = new LayeredCapacityView(true, ExcludedUnits.ALL, capable(unit, usable));
        if (placeIfFound(unit, PlacementSearch.find(cluster, unit.shape, outsideUnits))) {
            return true;
        }
        LayeredCapacityView outsideOccupiedUnits =
                new LayeredCapacityView(true, ExcludedUnits.OCCUPIED, capable(unit, usable));
        List<PartPlacement> found = PlacementSearch.find(cluster, unit.shape, outsideOccupiedUnits);
        if (!found.isEmpty() && displace(unit, found)) {
            return true;
        }
        if (!origin.isEmpty()) {
            plan.place(unit, origin);
        }
        return false;
    }

    private boolean displace(GuaranteeUnit unit, List<PartPlacement> target) {
        List<GuaranteeUnit> displaced = overlapping(unit.shape.part(), target);
        if (displaced.size() > MAXIMUM_DISPLACED_UNITS || displaced.stream().anyMatch(other -> !other.isEmpty())) {
            return false;
        }
        Map<GuaranteeUnit, List<PartPlacement>> origins = new LinkedHashMap<>();
        displaced.forEach(other -> origins.put(other, other.placements));
        displaced.forEach(plan::unplace);
        plan.place(unit, target);
        if (packAll(displaced, LARGEST_PARTS_FIRST)) {
            return true;
        }
        plan.unplace(unit);
        origins.forEach(plan::place);
        return false;
    }

    /**
     * Returns the units that would overlap parts at the given positions, in accelerators or in cores, memory or slots.
     */
    List<GuaranteeUnit> overlapping(PartResources part, List<PartPlacement> target) {
        Map<String, ResourceSum> wanted = new TreeMap<>();
        target.forEach(placement -> wanted.computeIfAbsent(placement.server(), name -> new ResourceSum())
                .add(part, placement.firstAccelerator()));
        Set<GuaranteeUnit> found = new LinkedHashSet<>();
        wanted.forEach((name, resources) -> {
            ServerState server = cluster.findOrAdd(name);
            boolean overcommitted = server.announced() != null
                    && (server.announced().cores() < server.unitArea.cores + resources.cores
                            || server.announced().memoryMebibytes()
                                    < server.unitArea.memoryMebibytes + resources.memoryMebibytes
                            || server.announced().slots() < server.unitArea.slots + resources.slots);
            plan.unitsOn(name).stream()
                    .filter(unit -> overcommitted && unit.isEmpty()
                            || (unit.area.get(name).accelerators & resources.accelerators) != 0)
                    .forEach(found::add);
        });
        return List.copyOf(found);
    }

    /**
     * Moves an empty unit to the given positions, relocating the empty units that overlap them. Changes nothing and
     * returns false if that is impossible.
     */
    boolean moveTo(GuaranteeUnit unit, List<PartPlacement> target) {
        List<PartPlacement> origin = unit.placements;
        plan.unplace(unit);
        if (displace(unit, target)) {
            return true;
        }
        if (!origin.isEmpty()) {
            plan.place(unit, origin);
        }
        return false;
    }

    /**
     * Restores the packing after servers were lost or came back, or after guarantees changed.
     *
     * @return jobs that ran inside a unit and now run on borrowed capacity, because their unit had to move
     */
    List<TrackedJob> restore() {
        plan.units().stream()
                .filter(unit -> unit.isEmpty() && unit.isPlaced() && !canHostUnits(unit))
                .forEach(plan::unplace);
        List<GuaranteeUnit> unplaced =
                plan.units().stream().filter(unit -> !unit.isPlaced()).toList();
        if (unplaced.isEmpty() || packAll(unplaced) || repackEmpty()) {
            return List.of();
        }
        List<TrackedJob> freed = repackMovable();
        if (freed.isEmpty()) {
            shareShortfall();
        }
        return freed;
    }

    private boolean canHostUnits(GuaranteeUnit unit) {
        return unit.area.entrySet().stream().allMatch(entry -> {
            ServerState server = cluster.find(entry.getKey());
            return server != null && canHostUnits(server) && fitsAnnouncement(server);
        });
    }

    /** Returns whether the units on a server fit what it announced last, which may be less than before. */
    private static boolean fitsAnnouncement(ServerState server) {
        return (server.unitArea.accelerators & ~server.allAccelerators()) == 0
                && server.unitArea.cores <= server.announced().cores()
                && server.unitArea.memoryMebibytes <= server.announced().memoryMebibytes()
                && server.unitArea.slots <= server.announced().slots();
    }

    private boolean repackEmpty() {
        List<GuaranteeUnit> empty =
                plan.units().stream().filter(GuaranteeUnit::isEmpty).toList();
        Map<GuaranteeUnit, List<PartPlacement>> origins = unplaceAll(empty);
        if (packAll(empty)) {
            return true;
        }
        origins.forEach(plan::place);
        return false;
    }

    private Map<GuaranteeUnit, List<PartPlacement>> unplaceAll(List<GuaranteeUnit> wanted) {
        Map<GuaranteeUnit, List<PartPlacement>> origins = new LinkedHashMap<>();
        for (GuaranteeUnit unit : wanted) {
            if (unit.isPlaced()) {
                origins.put(unit, unit.placements);
                plan.unplace(unit);
            }
        }
        return origins;
    }

    /**
     * Releases increasing numbers of units whose occupants can all be checkpointed, until everything packs. The
     * occupants continue in place on borrowed capacity and are preempted only when their resources are needed.
     */
    private List<TrackedJob> repackMovable() {
        List<GuaranteeUnit> movable = plan.units().stream()
                .filter(unit -> !unit.isEmpty()
                        && !unit.excess
                        && unit.occupants.stream().allMatch(UnitPacker::mayMove))
                .sorted(Comparator.comparingInt(unit -> unit.shape.totalAccelerators()))
                .toList();
        for (int count = 1; count < 2 * movable.size(); count *= 2) {
            List<GuaranteeUnit> chosen = movable.subList(0, Math.min(count, movable.size()));
            Map<GuaranteeUnit, List<TrackedJob>> occupants = new LinkedHashMap<>();
            chosen.forEach(unit -> occupants.put(unit, List.copyOf(unit.occupants)));
            occupants.values().forEach(jobs -> jobs.forEach(plan::leave));
            Map<GuaranteeUnit, List<PartPlacement>> before = new LinkedHashMap<>();
            chosen.forEach(unit -> before.put(unit, unit.placements));
            if (repackEmpty()) {
                return reenterUnmovedUnits(occupants, before);
            }
            occupants.forEach((unit, jobs) -> jobs.forEach(job -> plan.enter(unit, job)));
        }
        return List.of();
    }

    private List<TrackedJob> reenterUnmovedUnits(
            Map<GuaranteeUnit, List<TrackedJob>> occupants, Map<GuaranteeUnit, List<PartPlacement>> before) {
        List<TrackedJob> freed = new ArrayList<>();
        occupants.forEach((unit, jobs) -> {
            boolean stayed = new HashSet<>(unit.placements).equals(new HashSet<>(before.get(unit)));
            jobs.forEach(job -> {
                if (stayed) {
                    plan.enter(unit, job);
                } else {
                    freed.add(job);
                }
            });
        });
        return freed;
    }

    private static boolean mayMove(TrackedJob job) {
        return job.attempt != null && job.request.template().checkpointable();
    }

    /**
     * Shares the remaining capacity if not all units fit: the team with the smallest placed fraction of its guaranteed
     * accelerators gets the next unit, largest units first, ties by team name. Occupied units do not move.
     */
    private void shareShortfall() {
        List<GuaranteeUnit> empty =
                plan.units().stream().filter(GuaranteeUnit::isEmpty).toList();
        unplaceAll(empty);
        Map<String, Double> total = new TreeMap<>();
        Map<String, Double> placed = new TreeMap<>();
        Map<String, List<GuaranteeUnit>> open = new TreeMap<>();
        for (GuaranteeUnit unit : plan.units()) {
            double size = Math.max(0.1, unit.shape.totalAccelerators());
            total.merge(unit.team, size, Double::sum);
            placed.merge(unit.team, unit.isPlaced() ? size : 0, Double::sum);
        }
        empty.stream()
                .sorted(LARGEST_SHAPES_FIRST)
                .forEach(unit -> open.computeIfAbsent(unit.team, team -> new ArrayList<>())
                        .add(unit));
        while (!open.isEmpty()) {
            String team = open.keySet().stream()
                    .min(Comparator.comparingDouble(name -> placed.get(name) / total.get(name)))
                    .orElseThrow();
            GuaranteeUnit unit = open.get(team).removeFirst();
            if (pack(unit)) {
                placed.merge(team, Math.max(0.1, unit.shape.totalAccelerators()), Double::sum);
            }
            if (open.get(team).isEmpty()) {
                open.remove(team);
            }
        }
    }
}
