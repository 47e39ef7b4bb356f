package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.teaselwood.model.Level;
import org.teaselwood.model.Shape;

/**
 * Finds the positions that preserve the most capacity for later placements. Stateless.
 *
 * <p>Among the cells that can hold the shape, the one with the fewest usable accelerators is used, so that whole racks
 * and data centres stay free for gangs. Inside a cell, a single part goes to the server with the fewest accelerators
 * left over. A gang fills the servers that hold the most parts first, so that it spans few servers, and its last parts
 * go to the best-fitting server. Accelerators are taken at an aligned end of the shortest sufficient free range, as in
 * buddy allocation. Within one cell the search is exact for one shape, because equal parts pack greedily without loss
 * of capacity.
 */
final class PlacementSearch {
    private static final Comparator<Candidate> BEST_FIT = Comparator.<Candidate>comparingLong(
                    candidate -> candidate.penalty)
            .thenComparingInt(candidate -> candidate.leftover)
            .thenComparingInt(candidate -> candidate.capabilities)
            .thenComparing(candidate -> candidate.server.announced().speed(), Comparator.reverseOrder())
            .thenComparing(candidate -> candidate.server.name());
    private static final Comparator<Candidate> MOST_PARTS_FIRST = Comparator.<Candidate>comparingLong(
                    candidate -> candidate.penalty)
            .thenComparing(candidate -> candidate.fit, Comparator.reverseOrder())
            .thenComparingInt(candidate -> candidate.leftover)
            .thenComparing(candidate -> candidate.server.name());

    private PlacementSearch() {}

    /** Returns positions for all parts, or an empty list if they do not fit in any cell of the cluster. */
    static List<PartPlacement> find(Cluster cluster, Shape shape, CapacityView capacity) {
        // A single part satisfies every level of adjacency, so all servers are searched as one cell.
        Level level = shape.parts() == 1 ? Level.REGION : shape.adjacency();
        return find(cluster.cells(level).values(), shape, capacity);
    }

    /** Returns positions for all parts in one of the cells, or an empty list if no cell can hold them. */
    static List<PartPlacement> find(Iterable<List<ServerState>> cells, Shape shape, CapacityView capacity) {
        if (shape.parts() == 1) {
            return findSingle(cells, shape, capacity);
        }
        List<Candidate> best = List.of();
        long bestPenalty = Long.MAX_VALUE;
        long bestLeftover = Long.MAX_VALUE;
        for (List<ServerState> cell : cells) {
            List<Candidate> candidates = candidates(cell, shape, capacity);
            long parts = 0;
            long leftover = 0;
            long penalty = 0;
            for (Candidate candidate : candidates) {
                parts += candidate.fit;
                leftover += candidate.accelerators;
                penalty += candidate.penalty;
            }
            boolean better = penalty < bestPenalty || penalty == bestPenalty && leftover < bestLeftover;
            if (parts >= shape.parts() && better) {
                best = candidates;
                bestPenalty = penalty;
                bestLeftover = leftover;
            }
        }
        return best.isEmpty() ? List.of() : fill(best, shape, capacity);
    }

    private static List<PartPlacement> findSingle(
            Iterable<List<ServerState>> cells, Shape shape, CapacityView capacity) {
        Candidate best = null;
        for (List<ServerState> cell : cells) {
            for (ServerState server : cell) {
                int fit = capacity.countFittingParts(server, shape.part());
                if (fit > 0) {
                    Candidate candidate = new Candidate(server, fit, shape, capacity);
                    best = best == null || BEST_FIT.compare(candidate, best) < 0 ? candidate : best;
                }
            }
        }
        return best == null ? List.of() : fill(List.of(best), shape, capacity);
    }

    private static List<Candidate> candidates(List<ServerState> cell, Shape shape, CapacityView capacity) {
        List<Candidate> candidates = new ArrayList<>();
        for (ServerState server : cell) {
            int fit = capacity.countFittingParts(server, shape.part());
            if (fit > 0) {
                candidates.add(new Candidate(server, fit, shape, capacity));
            }
        }
        return candidates;
    }

    /** Places all parts on the candidates, which must together have capacity for the whole shape. */
    private static List<PartPlacement> fill(List<Candidate> candidates, Shape shape, CapacityView capacity) {
        List<Candidate> ordered = new ArrayList<>(candidates);
        ordered.sort(MOST_PARTS_FIRST);
        List<PartPlacement> placements = new ArrayList<>(shape.parts());
        while (placements.size() < shape.parts()) {
            int missing = shape.parts() - placements.size();
            Candidate next = ordered.getFirst();
            if (missing < next.fit) {
                next = ordered.stream()
                        .filter(candidate -> candidate.fit >= missing)
                        .min(BEST_FIT)
                        .orElse(next);
            }
            ordered.remove(next);
            fillServer(next.server, Math.min(missing, next.fit), shape, capacity.accelerators(next.server), placements);
        }
        return placements;
    }

    /** Appends the positions of a number of parts on one server, using the given accelerators. */
    static void fillServer(
            ServerState server, int count, Shape shape, long accelerators, List<PartPlacement> placements) {
        int length = shape.part().accelerators();
        long free = accelerators;
        for (int index = 0; index < count; index++) {
            int first = length == 0 ? -1 : ServerState.bestFitRange(free, length);
            free &= ~ServerState.rangeMask(first, length);
            placements.add(new PartPlacement(placements.size(), server.name(), first));
        }
    }

    /** A server with capacity for at least one part. */
    private static final class Candidate {
        private final ServerState server;
        private final int fit;
        private final int accelerators;
        private final int leftover;
        private final int capabilities;
        private final long penalty;

        Candidate(ServerState server, int fit, Shape shape, CapacityView capacity) {
            this.server = server;
            this.fit = fit;
            this.accelerators = Long.bitCount(capacity.accelerators(server));
            int used = Math.min(fit, shape.parts()) * shape.part().accelerators();
            this.leftover = shape.part().accelerators() == 0 ? 0 : accelerators - used;
            this.capabilities = server.announced().capabilities().size();
            this.penalty = capacity.penalty(server);
        }
    }
}
