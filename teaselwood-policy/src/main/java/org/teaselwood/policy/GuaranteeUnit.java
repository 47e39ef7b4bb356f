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
 * One guaranteed shape of a team, with the place that is kept for it. Mutable, confined to its scheduler's thread.
 *
 * <p>A unit without occupants may move at any time. Guaranteed attempts run inside the area of their unit, so two
 * disjoint units can both be given back to their teams whatever else runs.
 */
final class GuaranteeUnit {
    final String team;
    /** The shape, with the shares of cores, memory and slots that the declaration left open. */
    final Shape shape;

    final Set<String> capabilities;
    /** Whether the unit only protects work that must not stop and belongs to no declared guarantee. */
    final boolean excess;
    /** Positions of the parts, empty while the unit could not be packed. */
    List<PartPlacement> placements = List.of();
    /** The sum of the parts by server. */
    final Map<String, Holding> area = new TreeMap<>();
    /** What occupants take of the area, by server. */
    final Map<String, Holding> occupied = new TreeMap<>();
    /** Guaranteed jobs that run, or are about to run, inside the area. */
    final List<TrackedJob> occupants = new ArrayList<>();

    GuaranteeUnit(String team, Shape shape, Set<String> capabilities, boolean excess) {
        this.team = team;
        this.shape = shape;
        this.capabilities = capabilities;
        this.excess = excess;
    }

    /** Whether the unit stands for one shape of a guarantee. */
    boolean isFor(String otherTeam, Shape otherShape, Set<String> otherCapabilities) {
        return !excess && team.equals(otherTeam) && shape.equals(otherShape) && capabilities.equals(otherCapabilities);
    }

    /**
     * The shape of a guarantee with open amounts filled in: a part that names accelerators but no cores, memory or
     * slots is given its accelerators' share of the smallest able server, because accelerators are of no use without
     * them.
     */
    static Shape completed(Guarantee guarantee, Cluster cluster) {
        PartResources part = guarantee.shape().part();
        List<BackendServer> able = cluster.servers().stream()
                .filter(server -> Cluster.isCapable(server, guarantee.capabilities()) && server.fitWhenEmpty(part) > 0)
                .map(ServerState::announced)
                .toList();
        if (part.accelerators() == 0 || able.isEmpty()) {
            return guarantee.shape();
        }
        PartResources filled = new PartResources(
                part.accelerators(),
                filled(part.slots(), able, part, BackendServer::slots),
                filled(part.cores(), able, part, BackendServer::cores),
                filled(part.memoryMebibytes(), able, part, BackendServer::memoryMebibytes));
        return new Shape(guarantee.shape().parts(), filled, guarantee.shape().adjacency());
    }

    private static int filled(
            int declared, List<BackendServer> able, PartResources part, ToIntFunction<BackendServer> amount) {
        return declared > 0
                ? declared
                : (int) able.stream()
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
        positions.forEach(position -> occupied.computeIfAbsent(position.server(), name -> new Holding())
                .add(job.shape().part(), position.firstAccelerator()));
    }

    void vacate(TrackedJob job, List<PartPlacement> positions) {
        occupants.remove(job);
        positions.forEach(
                position -> occupied.get(position.server()).remove(job.shape().part(), position.firstAccelerator()));
    }
}
