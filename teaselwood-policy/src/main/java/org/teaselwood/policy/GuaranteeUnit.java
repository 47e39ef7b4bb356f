package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;

/**
 * One guaranteed shape of a team with the positions kept for it. Mutable, confined to its scheduler's thread.
 *
 * <p>A unit without occupants may move at any time. Guaranteed attempts run inside the area of their unit and units are
 * disjoint, so any two units can be returned to their teams whatever else runs.
 */
final class GuaranteeUnit {
    final String team;
    /** The shape, with unspecified cores, memory and slots filled in. */
    final Shape shape;

    final Set<String> capabilities;
    /** Whether the unit belongs to no declared guarantee and exists only to protect work that must not be preempted. */
    final boolean excess;
    /** Positions of the parts, empty while the unit is not placed. */
    List<PartPlacement> placements = List.of();
    /** Resources of the parts, by server. */
    final Map<String, ResourceSum> area = new TreeMap<>();
    /** Resources of the area that occupants hold or claim, by server. */
    final Map<String, ResourceSum> occupied = new TreeMap<>();
    /** Guaranteed jobs that run inside the area or hold a claim there. */
    final List<TrackedJob> occupants = new ArrayList<>();

    GuaranteeUnit(String team, Shape shape, Set<String> capabilities, boolean excess) {
        this.team = team;
        this.shape = shape;
        this.capabilities = capabilities;
        this.excess = excess;
    }

    /** Returns whether the unit belongs to the given shape of a guarantee. */
    boolean matches(String otherTeam, Shape otherShape, Set<String> otherCapabilities) {
        return !excess && team.equals(otherTeam) && shape.equals(otherShape) && capabilities.equals(otherCapabilities);
    }

    /**
     * Returns the shape of a guarantee with unspecified amounts filled in. A part that requests accelerators but no
     * cores, memory or slots gets the share of its accelerators in the smallest capable server, because accelerators
     * cannot be used without them.
     */
    static Shape withDefaultAmounts(Guarantee guarantee, Cluster cluster) {
        PartResources part = guarantee.shape().part();
        List<BackendServer> capable = cluster.servers().stream()
                .filter(server -> Cluster.isCapable(server, guarantee.capabilities())
                        && server.countFittingPartsWhenEmpty(part) > 0)
                .map(ServerState::announced)
                .toList();
        if (part.accelerators() == 0 || capable.isEmpty()) {
            return guarantee.shape();
        }
        PartResources filled = new PartResources(
                part.accelerators(),
                amountOrShare(part.slots(), capable, part, BackendServer::slots),
                amountOrShare(part.cores(), capable, part, BackendServer::cores),
                amountOrShare(part.memoryMebibytes(), capable, part, BackendServer::memoryMebibytes));
        return new Shape(guarantee.shape().parts(), filled, guarantee.shape().adjacency());
    }

    private static int amountOrShare(
            int declared, List<BackendServer> capable, PartResources part, ToIntFunction<BackendServer> amount) {
        return declared > 0
                ? declared
                : (int) capable.stream()
                        .mapToLong(server ->
                                (long) amount.applyAsInt(server) * part.accelerators() / server.accelerators())
                        .min()
                        .orElse(0);
    }

    boolean isPlaced() {
        return !placements.isEmpty();
    }

    boolean isEmpty() {
        return occupants.isEmpty();
    }

    void occupy(TrackedJob job, List<PartPlacement> positions) {
        occupants.add(job);
        positions.forEach(position -> occupied.computeIfAbsent(position.server(), name -> new ResourceSum())
                .add(job.shape().part(), position.firstAccelerator()));
    }

    void vacate(TrackedJob job, List<PartPlacement> positions) {
        occupants.remove(job);
        positions.forEach(
                position -> occupied.get(position.server()).remove(job.shape().part(), position.firstAccelerator()));
    }
}
