package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.teaselwood.model.Shape;

/** Finds positions for a shape in a cluster, cell by cell, filling servers in a given order. Stateless. */
public final class PartPacker {
    private PartPacker() {}

    /**
     * Returns positions in the first cell with enough free capacity, or an empty list if there is none.
     *
     * @param accepts servers that may be used
     * @param order order in which the servers of a cell are filled, null for the order of their names
     */
    public static List<PartPlacement> pack(
            Cluster cluster, Shape shape, Predicate<ServerState> accepts, Comparator<ServerState> order) {
        for (List<ServerState> cell : cluster.cells(shape.adjacency()).values()) {
            List<ServerState> servers = cell.stream()
                    .filter(accepts)
                    .filter(server -> server.countFittingParts(shape.part()) > 0)
                    .toList();
            if (capacity(servers, shape) >= shape.parts()) {
                return fill(
                        order == null ? servers : servers.stream().sorted(order).toList(), shape);
            }
        }
        return List.of();
    }

    private static long capacity(List<ServerState> servers, Shape shape) {
        long parts = 0;
        for (ServerState server : servers) {
            parts += server.countFittingParts(shape.part());
        }
        return parts;
    }

    /** Places the parts on the servers in the given order. The servers must have enough free capacity for the shape. */
    static List<PartPlacement> fill(List<ServerState> servers, Shape shape) {
        List<PartPlacement> placements = new ArrayList<>(shape.parts());
        int length = shape.part().accelerators();
        for (ServerState server : servers) {
            int count = Math.min(server.countFittingParts(shape.part()), shape.parts() - placements.size());
            long free = server.freeAccelerators();
            for (int index = 0; index < count; index++) {
                int first = length == 0 ? -1 : ServerState.firstFitRange(free, length);
                free &= ~ServerState.rangeMask(first, length);
                placements.add(new PartPlacement(placements.size(), server.name(), first));
            }
        }
        return placements;
    }
}
