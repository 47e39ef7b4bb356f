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
 * Finds the positions for a shape whose present holders cost the least to stop. Stateless.
 *
 * <p>Parts are added one by one to each server at the run with the lowest additional cost; a cell then takes the
 * servers with the lowest cost for each part. This is greedy: the cost of an attempt that spans servers is counted on
 * each.
 */
final class VictimSearch {
    /** Where the search may look. */
    interface Ground {
        /** Accelerators of a server that may be used, whether or not victims hold them; 0 when it must not be used. */
        long accelerators(ServerState server);

        /** Most parts that the server may take, 0 when it must not be used. */
        int mostParts(ServerState server);
    }

    /**
     * What was found.
     *
     * @param placements positions
     * @param victims attempts that must stop first; those that stop already are among them
     * @param cost sum of the costs of the victims
     */
    record Found(List<PartPlacement> placements, List<TrackedAttempt> victims, long cost) {}

    private VictimSearch() {}

    /** The cheapest cell among several, or null. A search gives up on a server once its cost exceeds the limit. */
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

    /** Parts put on one server, one by one. */
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
                // Each round adds one part.
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

        /** Adds further victims until cores, memory and slots suffice. */
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
