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
 * Keeps a packing of all guaranteed shapes as the witness of invariant I1. Mutable, confined to its scheduler's thread.
 *
 * <p>Every guaranteed shape is a {@link GuaranteeUnit} with a place. Units are disjoint, and guaranteed work runs only
 * inside its team's unit. So as long as every unit has a place, all guaranteed shapes not yet in use can be packed on
 * what guaranteed work does not hold: their own places show it. The check of a placement inside a unit is therefore
 * exact and costs time in proportion to its parts. {@link UnitPacker} finds the places.
 */
final class GuaranteePlan {
    private final Cluster cluster;
    private final List<GuaranteeUnit> units = new ArrayList<>();
    private final Map<String, List<GuaranteeUnit>> unitsOfTeam = new TreeMap<>();
    private final Map<String, Set<GuaranteeUnit>> unitsOnServer = new HashMap<>();
    /** Whether open amounts of a guarantee could not be filled in, because no able server was known. */
    private boolean incomplete;

    GuaranteePlan(Cluster cluster) {
        this.cluster = cluster;
    }

    /** All units, those of declared guarantees first, by team. */
    List<GuaranteeUnit> units() {
        return units;
    }

    /** Units of a team, with the excess units that protect its work. */
    List<GuaranteeUnit> unitsOf(String team) {
        return unitsOfTeam.getOrDefault(team, List.of());
    }

    /** Units with a part on a server. */
    Set<GuaranteeUnit> unitsOn(String server) {
        return unitsOnServer.getOrDefault(server, Set.of());
    }

    /**
     * Replaces the guarantees. Units whose guarantee stays keep their place; occupied ones without one become excess.
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
                lift(unit);
            } else {
                units.add(excessCopy(unit));
            }
        }
        index();
    }

    /**
     * Whether to configure again when servers join. A new placer learns the configuration before the servers, and
     * guarantees without their share of cores, memory and slots would be packed where they cannot run.
     */
    boolean isIncomplete() {
        return incomplete;
    }

    private void addUnits(String team, Guarantee guarantee, List<GuaranteeUnit> old) {
        Shape shape = GuaranteeUnit.completed(guarantee, cluster);
        incomplete |= guarantee.shape().part().accelerators() > 0 && shape.equals(guarantee.shape());
        for (int index = 0; index < guarantee.count(); index++) {
            GuaranteeUnit unit = old.stream()
                    .filter(candidate -> candidate.isFor(team, shape, guarantee.capabilities()))
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
        lift(unit);
        put(copy, placements);
        occupants.forEach(job -> enter(copy, job));
        return copy;
    }

    private void index() {
        unitsOfTeam.clear();
        units.forEach(unit -> unitsOfTeam
                .computeIfAbsent(unit.team, name -> new ArrayList<>())
                .add(unit));
    }

    /** Adds a unit that protects work which must not stop and runs outside of all units. */
    void addExcess(TrackedJob job) {
        GuaranteeUnit unit = new GuaranteeUnit(
                job.request.team(), job.shape(), job.request.template().capabilities(), true);
        units.add(unit);
        put(unit, job.positions());
        enter(unit, job);
        index();
    }

    /** Takes an empty unit from its place. */
    void lift(GuaranteeUnit unit) {
        unit.placements.forEach(placement -> {
            ServerState server = cluster.findOrAdd(placement.server());
            server.promised.remove(unit.shape.part(), placement.firstAccelerator());
            unitsOnServer.get(server.name()).remove(unit);
        });
        List<PartPlacement> left = unit.placements;
        unit.placements = List.of();
        unit.area.clear();
        unit.occupied.clear();
        left.forEach(placement -> cluster.forgetIfGone(cluster.findOrAdd(placement.server())));
    }

    /** Gives an unplaced unit a place that no other unit covers. */
    void put(GuaranteeUnit unit, List<PartPlacement> placements) {
        unit.placements = List.copyOf(placements);
        placements.forEach(placement -> {
            cluster.findOrAdd(placement.server()).promised.add(unit.shape.part(), placement.firstAccelerator());
            unit.area
                    .computeIfAbsent(placement.server(), name -> new Holding())
                    .add(unit.shape.part(), placement.firstAccelerator());
            unitsOnServer
                    .computeIfAbsent(placement.server(), name -> new LinkedHashSet<>())
                    .add(unit);
        });
    }

    /** A job enters a unit at the positions of its claim or attempt, which lie inside the unit's area. */
    void enter(GuaranteeUnit unit, TrackedJob job) {
        if (unit.isEmpty()) {
            unit.placements.forEach(placement -> cluster.findOrAdd(placement.server())
                    .anchored
                    .add(unit.shape.part(), placement.firstAccelerator()));
        }
        unit.occupy(job, job.positions());
        job.unit = unit;
    }

    /** A job leaves its unit, because it ended or goes on as borrowed work. */
    void leave(TrackedJob job) {
        GuaranteeUnit unit = job.unit;
        unit.vacate(job, job.positions());
        job.unit = null;
        if (unit.isEmpty()) {
            unit.placements.forEach(placement -> cluster.findOrAdd(placement.server())
                    .anchored
                    .remove(unit.shape.part(), placement.firstAccelerator()));
            if (unit.excess) {
                lift(unit);
                units.remove(unit);
                index();
            }
        }
    }
}
