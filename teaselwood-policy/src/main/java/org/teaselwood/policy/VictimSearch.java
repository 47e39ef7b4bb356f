package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.teaselwood.model.Shape;

/**
 * Finds the positions for a shape whose present holders cost the least to preempt. Stateless.
 *
 * <p>On each server, parts are added one by one at the accelerator range with the lowest additional cost; each cell
 * then uses the servers with the lowest cost per part. The search is greedy: the cost of an attempt that spans several
 * servers is counted on each of them.
 */
final class VictimSearch {
    /** The resources of each server that the search may use. */
    interface UsableResources {
        /**
         * Returns the accelerators that may be used as a bit set, whether or not victims hold them; 0 if the server
         * must not be used.
         */
        long accelerators(ServerState server);

        /** Returns the maximum number of parts that may be placed on the server; 0 if it must not be used. */
        int maximumParts(ServerState server);
    }

    /**
     * Positions and the attempts to preempt for them.
     *
     * @param placements positions of the parts
     * @param victims attempts that must end first, including those that are already stopping
     * @param cost sum of the costs of the victims; attempts that are already stopping cost nothing
     */
    record Result(List<PartPlacement> placements, List<TrackedAttempt> victims, long cost) {}

    private VictimSearch() {}

    /**
     * Returns the cheapest positions in any one of the cells, or null if there are none within the cost limit. The
     * search on a server stops once its cost exceeds the limit.
     */
    static Result cheapest(
            Iterable<List<ServerState>> cells,
            Shape shape,
            UsableResources usable,
            Predicate<TrackedAttempt> mayStop,
            ToLongFunction<TrackedAttempt> cost,
            long limit) {
        Result best = null;
        for (List<ServerState> cell : cells) {
            List<ServerPacking> packings = new ArrayList<>();
            for (ServerState server : cell) {
                int maximum = server.announced() == null ? 0 : usable.maximumParts(server);
                if (maximum > 0) {
                    ServerPacking packing =
                            new ServerPacking(server, shape, usable.accelerators(server), mayStop, cost);
                    packing.fill(Math.min(maximum, shape.parts()), limit);
                    if (!packing.firstAccelerators.isEmpty()) {
                        packings.add(packing);
                    }
                }
            }
            Result found = combine(packings, shape, cost);
            if (found != null && found.cost <= limit && (best == null || found.cost < best.cost)) {
                best = found;
            }
        }
        return best;
    }

    private static Result combine(List<ServerPacking> packings, Shape shape, ToLongFunction<TrackedAttempt> cost) {
        packings.sort(
                Comparator.<ServerPacking>comparingLong(packing -> packing.cost / packing.firstAccelerators.size())
                        .thenComparingInt(packing -> -packing.firstAccelerators.size())
                        .thenComparing(packing -> packing.server.name()));
        List<PartPlacement> placements = new ArrayList<>(shape.parts());
        Set<TrackedAttempt> victims = new LinkedHashSet<>();
        for (ServerPacking packing : packings) {
            int count = Math.min(shape.parts() - placements.size(), packing.firstAccelerators.size());
            for (int index = 0; index < count; index++) {
                placements.add(new PartPlacement(
                        placements.size(), packing.server.name(), packing.firstAccelerators.get(index)));
            }
            if (count > 0) {
                victims.addAll(packing.victimsOf(count));
            }
        }
        if (placements.size() < shape.parts()) {
            return null;
        }
        long total = 0;
        for (TrackedAttempt victim : victims) {
            total += victim.isStopping() ? 0 : cost.applyAsLong(victim);
        }
        return new Result(placements, List.copyOf(victims), total);
    }

    /** Incremental packing of parts onto one server. */
    private static final class ServerPacking {
        private final ServerState server;
        private final Shape shape;
        private final ToLongFunction<TrackedAttempt> costOf;
        private final List<TrackedAttempt> candidates = new ArrayList<>();
        private final List<Integer> firstAccelerators = new ArrayList<>();
        private final List<List<TrackedAttempt>> victimsByPart = new ArrayList<>();
        private long available;
        private long free;
        private int cores;
        private int memoryMebibytes;
        private int slots;
        private long cost;

        ServerPacking(
                ServerState server,
                Shape shape,
                long usable,
                Predicate<TrackedAttempt> mayStop,
                ToLongFunction<TrackedAttempt> costOf) {
            this.server = server;
            this.shape = shape;
            this.costOf = costOf;
            free = server.freeAccelerators() & usable & ~server.claimed.accelerators;
            available = free;
            for (TrackedAttempt attempt : server.attempts) {
                if (attempt.isStopping() || mayStop.test(attempt)) {
                    candidates.add(attempt);
                    available |= attempt.acceleratorsOn(server.name()) & usable & ~server.claimed.accelerators;
                }
            }
            cores = server.announced().cores() - server.held.cores - server.claimed.cores;
            memoryMebibytes =
                    server.announced().memoryMebibytes() - server.held.memoryMebibytes - server.claimed.memoryMebibytes;
            slots = server.announced().slots() - server.held.slots - server.claimed.slots;
        }

        void fill(int maximum, long limit) {
            while (firstAccelerators.size() < maximum && cost <= limit && addPart()) {
                // The condition adds one part per iteration.
            }
        }

        private boolean addPart() {
            int length = shape.part().accelerators();
            int first = -1;
            List<TrackedAttempt> victims = List.of();
            if (length > 0) {
                first = cheapestRange(length);
                if (first < 0) {
                    return false;
                }
                victims = holders(ServerState.rangeMask(first, length));
            }
            List<TrackedAttempt> all = new ArrayList<>(victims);
            if (!addVictims(all)) {
                return false;
            }
            all.forEach(this::markStopped);
            available &= ~ServerState.rangeMask(first, length);
            free &= ~ServerState.rangeMask(first, length);
            cores -= shape.part().cores();
            memoryMebibytes -= shape.part().memoryMebibytes();
            slots -= shape.part().slots();
            firstAccelerators.add(first);
            victimsByPart.add(all);
            return true;
        }

        private int cheapestRange(int length) {
            int firstFree = ServerState.bestFitRange(free, length);
            if (firstFree >= 0) {
                return firstFree;
            }
            int best = -1;
            long bestCost = Long.MAX_VALUE;
            for (int first = 0; first + length <= server.announced().accelerators(); first++) {
                long range = ServerState.rangeMask(first, length);
                if ((range & available) != range) {
                    continue;
                }
                long rangeCost = first % length == 0 ? 0 : 1;
                for (TrackedAttempt holder : holders(range)) {
                    rangeCost += holder.isStopping() ? 0 : costOf.applyAsLong(holder);
                }
                if (rangeCost < bestCost) {
                    bestCost = rangeCost;
                    best = first;
                }
            }
            return best;
        }

        private List<TrackedAttempt> holders(long range) {
            List<TrackedAttempt> holders = new ArrayList<>();
            for (TrackedAttempt candidate : candidates) {
                if ((candidate.acceleratorsOn(server.name()) & range) != 0) {
                    holders.add(candidate);
                }
            }
            return holders;
        }

        /** Adds victims until cores, memory and slots suffice for one more part. Returns false if they never do. */
        private boolean addVictims(List<TrackedAttempt> victims) {
            while (!fitsAfterStopping(victims)) {
                TrackedAttempt next = candidates.stream()
                        .filter(candidate -> !victims.contains(candidate))
                        .min(Comparator.<TrackedAttempt>comparingLong(
                                        candidate -> candidate.isStopping() ? 0 : costOf.applyAsLong(candidate))
                                .thenComparing(candidate -> candidate.identifier))
                        .orElse(null);
                if (next == null) {
                    return false;
                }
                victims.add(next);
            }
            return true;
        }

        private boolean fitsAfterStopping(List<TrackedAttempt> victims) {
            int freedCores = 0;
            int freedMemory = 0;
            int freedSlots = 0;
            for (TrackedAttempt attempt : victims) {
                int parts = attempt.partsOn(server.name());
                freedCores += parts * attempt.job.shape().part().cores();
                freedMemory += parts * attempt.job.shape().part().memoryMebibytes();
                freedSlots += parts * attempt.job.shape().part().slots();
            }
            return cores + freedCores >= shape.part().cores()
                    && memoryMebibytes + freedMemory >= shape.part().memoryMebibytes()
                    && slots + freedSlots >= shape.part().slots();
        }

        private void markStopped(TrackedAttempt attempt) {
            candidates.remove(attempt);
            int parts = attempt.partsOn(server.name());
            cores += parts * attempt.job.shape().part().cores();
            memoryMebibytes += parts * attempt.job.shape().part().memoryMebibytes();
            slots += parts * attempt.job.shape().part().slots();
            free |= attempt.acceleratorsOn(server.name()) & available;
            cost += attempt.isStopping() ? 0 : costOf.applyAsLong(attempt);
        }

        List<TrackedAttempt> victimsOf(int count) {
            return victimsByPart.subList(0, count).stream()
                    .flatMap(List::stream)
                    .toList();
        }
    }
}
