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
    interface Ground {
        /**
         * Returns the accelerators that may be used as a bit set, whether or not victims hold them; 0 if the server
         * must not be used.
         */
        long accelerators(ServerState server);

        /** Returns the maximum number of parts that may be placed on the server; 0 if it must not be used. */
        int mostParts(ServerState server);
    }

    /**
     * Positions and the attempts to preempt for them.
     *
     * @param placements positions of the parts
     * @param victims attempts that must end first, including those that are already stopping
     * @param cost sum of the costs of the victims; attempts that are already stopping cost nothing
     */
    record Found(List<PartPlacement> placements, List<TrackedAttempt> victims, long cost) {}

    private VictimSearch() {}

    /**
     * Returns the cheapest positions in any one of the cells, or null if there are none within the cost limit. The
     * search on a server stops once its cost exceeds the limit.
     */
    static Found cheapest(
            Iterable<List<ServerState>> cells,
            Shape shape,
            Ground ground,
            Predicate<TrackedAttempt> mayStop,
            ToLongFunction<TrackedAttempt> cost,
            long limit) {
        Found best = null;
        for (List<ServerState> cell : cells) {
            List<Trial> trials = new ArrayList<>();
            for (ServerState server : cell) {
                int most = server.announced() == null ? 0 : ground.mostParts(server);
                if (most > 0) {
                    Trial trial = new Trial(server, shape, ground.accelerators(server), mayStop, cost);
                    trial.fill(Math.min(most, shape.parts()), limit);
                    if (!trial.firsts.isEmpty()) {
                        trials.add(trial);
                    }
                }
            }
            Found found = combine(trials, shape, cost);
            if (found != null && found.cost <= limit && (best == null || found.cost < best.cost)) {
                best = found;
            }
        }
        return best;
    }

    private static Found combine(List<Trial> trials, Shape shape, ToLongFunction<TrackedAttempt> cost) {
        trials.sort(Comparator.<Trial>comparingLong(trial -> trial.cost / trial.firsts.size())
                .thenComparingInt(trial -> -trial.firsts.size())
                .thenComparing(trial -> trial.server.name()));
        List<PartPlacement> placements = new ArrayList<>(shape.parts());
        Set<TrackedAttempt> victims = new LinkedHashSet<>();
        for (Trial trial : trials) {
            int count = Math.min(shape.parts() - placements.size(), trial.firsts.size());
            for (int index = 0; index < count; index++) {
                placements.add(new PartPlacement(placements.size(), trial.server.name(), trial.firsts.get(index)));
            }
            if (count > 0) {
                victims.addAll(trial.victimsOf(count));
            }
        }
        if (placements.size() < shape.parts()) {
            return null;
        }
        long total = 0;
        for (TrackedAttempt victim : victims) {
            total += victim.isStopping() ? 0 : cost.applyAsLong(victim);
        }
        return new Found(placements, List.copyOf(victims), total);
    }

    /** Incremental packing of parts onto one server. */
    private static final class Trial {
        private final ServerState server;
        private final Shape shape;
        private final ToLongFunction<TrackedAttempt> costOf;
        private final List<TrackedAttempt> candidates = new ArrayList<>();
        private final List<Integer> firsts = new ArrayList<>();
        private final List<List<TrackedAttempt>> stopped = new ArrayList<>();
        private long open;
        private long free;
        private int cores;
        private int memoryMebibytes;
        private int slots;
        private long cost;

        Trial(
                ServerState server,
                Shape shape,
                long ground,
                Predicate<TrackedAttempt> mayStop,
                ToLongFunction<TrackedAttempt> costOf) {
            this.server = server;
            this.shape = shape;
            this.costOf = costOf;
            free = server.freeAccelerators() & ground & ~server.claimed.accelerators;
            open = free;
            for (TrackedAttempt attempt : server.attempts) {
                if (attempt.isStopping() || mayStop.test(attempt)) {
                    candidates.add(attempt);
                    open |= attempt.acceleratorsOn(server.name()) & ground & ~server.claimed.accelerators;
                }
            }
            cores = server.announced().cores() - server.held.cores - server.claimed.cores;
            memoryMebibytes =
                    server.announced().memoryMebibytes() - server.held.memoryMebibytes - server.claimed.memoryMebibytes;
            slots = server.announced().slots() - server.held.slots - server.claimed.slots;
        }

        void fill(int most, long limit) {
            while (firsts.size() < most && cost <= limit && addPart()) {
                // The condition adds one part per iteration.
            }
        }

        private boolean addPart() {
            int length = shape.part().accelerators();
            int first = -1;
            List<TrackedAttempt> chosen = List.of();
            if (length > 0) {
                first = cheapestRun(length);
                if (first < 0) {
                    return false;
                }
                chosen = holders(ServerState.range(first, length));
            }
            List<TrackedAttempt> all = new ArrayList<>(chosen);
            if (!makeRoom(all)) {
                return false;
            }
            all.forEach(this::stop);
            open &= ~ServerState.range(first, length);
            free &= ~ServerState.range(first, length);
            cores -= shape.part().cores();
            memoryMebibytes -= shape.part().memoryMebibytes();
            slots -= shape.part().slots();
            firsts.add(first);
            stopped.add(all);
            return true;
        }

        private int cheapestRun(int length) {
            int inFree = ServerState.bestRun(free, length);
            if (inFree >= 0) {
                return inFree;
            }
            int best = -1;
            long bestCost = Long.MAX_VALUE;
            for (int first = 0; first + length <= server.announced().accelerators(); first++) {
                long range = ServerState.range(first, length);
                if ((range & open) != range) {
                    continue;
                }
                long runCost = first % length == 0 ? 0 : 1;
                for (TrackedAttempt holder : holders(range)) {
                    runCost += holder.isStopping() ? 0 : costOf.applyAsLong(holder);
                }
                if (runCost < bestCost) {
                    bestCost = runCost;
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
        private boolean makeRoom(List<TrackedAttempt> chosen) {
            while (!suffices(chosen)) {
                TrackedAttempt next = candidates.stream()
                        .filter(candidate -> !chosen.contains(candidate))
                        .min(Comparator.<TrackedAttempt>comparingLong(
                                        candidate -> candidate.isStopping() ? 0 : costOf.applyAsLong(candidate))
                                .thenComparing(candidate -> candidate.identifier))
                        .orElse(null);
                if (next == null) {
                    return false;
                }
                chosen.add(next);
            }
            return true;
        }

        private boolean suffices(List<TrackedAttempt> chosen) {
            int freedCores = 0;
            int freedMemory = 0;
            int freedSlots = 0;
            for (TrackedAttempt attempt : chosen) {
                int parts = attempt.partsOn(server.name());
                freedCores += parts * attempt.job.shape().part().cores();
                freedMemory += parts * attempt.job.shape().part().memoryMebibytes();
                freedSlots += parts * attempt.job.shape().part().slots();
            }
            return cores + freedCores >= shape.part().cores()
                    && memoryMebibytes + freedMemory >= shape.part().memoryMebibytes()
                    && slots + freedSlots >= shape.part().slots();
        }

        private void stop(TrackedAttempt attempt) {
            candidates.remove(attempt);
            int parts = attempt.partsOn(server.name());
            cores += parts * attempt.job.shape().part().cores();
            memoryMebibytes += parts * attempt.job.shape().part().memoryMebibytes();
            slots += parts * attempt.job.shape().part().slots();
            free |= attempt.acceleratorsOn(server.name()) & open;
            cost += attempt.isStopping() ? 0 : costOf.applyAsLong(attempt);
        }

        List<TrackedAttempt> victimsOf(int count) {
            return stopped.subList(0, count).stream().flatMap(List::stream).toList();
        }
    }
}
