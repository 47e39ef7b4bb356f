package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.Shape;
import org.teaselwood.model.Team;

/**
 * Packing of all guaranteed shapes, which proves that all guarantees can be met (invariant I1). Mutable, confined to
 * its scheduler's thread.
 *
 * <p>Every guaranteed shape is a {@link GuaranteeUnit}, whose position {@link UnitPacker} finds. Units are disjoint,
 * and guaranteed work runs only inside units of its team. As long as every unit has a position, all guaranteed shapes
 * that are not in use can therefore be placed on resources that guaranteed work does not hold, namely at the positions
 * of their own units. Checking a placement inside a unit is exact and its cost is proportional to the number of parts
 * of the placement.
 */
final class GuaranteePlan {
    private final Cluster cluster;
    private final List<GuaranteeUnit> units = new ArrayList<>();
    private final Map<String, List<GuaranteeUnit>> unitsOfTeam = new TreeMap<>();
    private final Map<String, Set<GuaranteeUnit>> unitsOnServer = new HashMap<>();
    /** Whether unspecified amounts of a guarantee could not be filled in, because no capable server was known. */
    private boolean incomplete;

    GuaranteePlan(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Returns all units: those of declared guarantees first, by team, then excess units. */
    List<GuaranteeUnit> units() {
        return units;
    }

    /** Returns the units of a team, including the excess units that protect its work. */
    List<GuaranteeUnit> unitsOf(String team) {
        return unitsOfTeam.getOrDefault(team, List.of());
    }

    /** Returns the units with a part on a server. */
    Set<GuaranteeUnit> unitsOn(String server) {
        return unitsOnServer.getOrDefault(server, Set.of());
    }

    /**
     * Replaces the guarantees. Units whose guarantee is unchanged keep their position; occupied units whose guarantee
     * was removed become excess units.
     */
    void configure(Configuration configuration) {
        List<GuaranteeUnit> old = new ArrayList<>(units);
        units.clear();
        incomplete = false;
        for (Team team : configuration.teams().values()) {
            for (Guarantee guarantee : team.guarantees()) {
                addUnits(team.name(), guarantee, old);
            }
        }
        for (GuaranteeUnit unit : old) {
            if (unit.isEmpty()) {
                unplace(unit);
            } else {
                units.add(excessCopy(unit));
            }
        }
        index();
    }

    /**
     * Returns whether the configuration must be applied again when servers join. A new placer learns the configuration
     * before the servers, and guarantees without their share of cores, memory and slots would be packed on servers that
     * cannot run them.
     */
    boolean isIncomplete() {
        return incomplete;
    }

    private void addUnits(String team, Guarantee guarantee, List<GuaranteeUnit> old) {
        Shape shape = GuaranteeUnit.withDefaultAmounts(guarantee, cluster);
        incomplete |= guarantee.shape().part().accelerators() > 0 && shape.equals(guarantee.shape());
        for (int index = 0; index < guarantee.count(); index++) {
            GuaranteeUnit unit = old.stream()
                    .filter(candidate -> candidate.matches(team, shape, guarantee.capabilities()))
                    .findFirst()
                    .orElse(null);
            if (unit == null) {
                units.add(new GuaranteeUnit(team, shape, guarantee.capabilities(), false));
            } else {
                old.remove(unit);
                units.add(unit);
            }
        }
    }

    private GuaranteeUnit excessCopy(GuaranteeUnit unit) {
        GuaranteeUnit copy = new GuaranteeUnit(unit.team, unit.shape, unit.capabilities, true);
        List<PartPlacement> placements = unit.placements;
        List<TrackedJob> occupants = List.copyOf(unit.occupants);
        occupants.forEach(this::leave);
        unplace(unit);
        place(copy, placements);
        occupants.forEach(job -> enter(copy, job));
        return copy;
    }

    private void index() {
        unitsOfTeam.clear();
        units.forEach(unit -> unitsOfTeam
                .computeIfAbsent(unit.team, name -> new ArrayList<>())
                .add(unit));
    }

    /** Adds an excess unit for a job that must not be preempted and runs outside all units. */
    void addExcess(TrackedJob job) {
        GuaranteeUnit unit = new GuaranteeUnit(
                job.request.team(), job.shape(), job.request.template().capabilities(), true);
        units.add(unit);
        place(unit, job.positions());
        enter(unit, job);
        index();
    }

    /** Removes an empty unit from its position. */
    void unplace(GuaranteeUnit unit) {
        unit.placements.forEach(placement -> {
            ServerState server = cluster.findOrAdd(placement.server());
            server.unitArea.remove(unit.shape.part(), placement.firstAccelerator());
            unitsOnServer.get(server.name()).remove(unit);
        });
        List<PartPlacement> left = unit.placements;
        unit.placements = List.of();
        unit.area.clear();
        unit.occupied.clear();
        left.forEach(placement -> cluster.removeIfUnused(cluster.findOrAdd(placement.server())));
    }

    /** Assigns an unplaced unit positions that no other unit covers. */
    void place(GuaranteeUnit unit, List<PartPlacement> placements) {
        unit.placements = List.copyOf(placements);
        placements.forEach(placement -> {
            cluster.findOrAdd(placement.server()).unitArea.add(unit.shape.part(), placement.firstAccelerator());
            unit.area
                    .computeIfAbsent(placement.server(), name -> new ResourceSum())
                    .add(unit.shape.part(), placement.firstAccelerator());
            unitsOnServer
                    .computeIfAbsent(placement.server(), name -> new LinkedHashSet<>())
                    .add(unit);
        });
    }

    /**
     * Adds a job to a unit as an occupant. The positions of its claim or attempt must lie inside the area of the unit.
     */
    void enter(GuaranteeUnit unit, TrackedJob job) {
        if (unit.isEmpty()) {
            unit.placements.forEach(placement -> cluster.findOrAdd(placement.server())
                    .occupiedUnitArea
                    .add(unit.shape.part(), placement.firstAccelerator()));
        }
        unit.occupy(job, job.positions());
        job.unit = unit;
    }

    /** Removes a job from its unit because it ended or continues as borrowed work. */
    void leave(TrackedJob job) {
        GuaranteeUnit unit = job.unit;
        unit.vacate(job, job.positions());
        job.unit = null;
        if (unit.isEmpty()) {
            unit.placements.forEach(placement -> cluster.findOrAdd(placement.server())
                    .occupiedUnitArea
                    .remove(unit.shape.part(), placement.firstAccelerator()));
            if (unit.excess) {
                unplace(unit);
                units.remove(unit);
                index();
            }
        }
    }
}
