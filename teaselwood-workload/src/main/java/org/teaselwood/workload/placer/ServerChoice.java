package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaselwood.workload.model.Resources;

/**
 * Chooses backend servers for tasks. Stateless.
 *
 * <p>Prefers the fullest server that fits (best fit), so that whole servers stay free for gangs that need all their
 * accelerators; first fit would spread small tasks over all servers. Servers in quarantine and servers on which the
 * task has failed come last, because another failed attempt there counts against the job.
 */
final class ServerChoice {
    /** Longest wait of a suspected task for a server without another one, which is proved within two seconds. */
    private static final long MAXIMUM_SEPARATION_WAIT_MILLISECONDS = 2_500;

    private ServerChoice() {}

    /** Returns the best server with enough free capacity for a task, empty if there is none. */
    static Optional<ServerState> forTask(
            FreeCapacity freeCapacity, String service, StepState step, TaskState task, long now) {
        List<ServerState> fitting = freeCapacity
                .fitting(service, step)
                .filter(server -> isApartFromSuspects(server, step, task, now))
                .toList();
        Comparator<ServerState> preference = preference(freeCapacity, step, task, now);
        Optional<ServerState> outsideQuarantine = fitting.stream()
                .filter(server -> !Quarantine.contains(server, now))
                .min(preference);
        if (outsideQuarantine.isPresent() || fitting.isEmpty()) {
            return outsideQuarantine;
        }
        Quarantine quarantine =
                new Quarantine(freeCapacity.eligible(service, step).toList(), step, now);
        return fitting.stream()
                .filter(server -> quarantine.admits(server, task))
                .min(preference);
    }

    /**
     * Returns servers for all tasks of a gang, empty if they do not fit at the same time. A gang that has to run in one
     * rack may spread over racks only if no rack could hold it even when empty, or if it has waited long enough.
     *
     * @param maySpread whether a gang has waited long enough for one rack
     */
    static Optional<Map<TaskState, ServerState>> forGang(
            FreeCapacity freeCapacity, String service, StepState step, boolean maySpread, long now) {
        List<ServerState> eligible = freeCapacity.eligible(service, step).toList();
        Quarantine quarantine = new Quarantine(eligible, step, now);
        if (!step.specification.sameRack()) {
            return pack(freeCapacity.copy(), eligible, step, quarantine, now);
        }
        Map<String, List<ServerState>> racks = freeCapacity.racks(service, step);
        Optional<Map<TaskState, ServerState>> inOneRack = racks.values().stream()
                .sorted(Comparator.comparingInt((List<ServerState> rack) -> matchesAffinity(rack, step) ? 0 : 1)
                        .thenComparingInt(
                                rack -> rack.stream().anyMatch(server -> Quarantine.contains(server, now)) ? 1 : 0)
                        .thenComparingInt(rack -> rack.stream()
                                .mapToInt(server -> freeCapacity.freeOn(server).accelerators())
                                .sum()))
                .map(rack -> pack(freeCapacity.copy(), rack, step, quarantine, now))
                .flatMap(Optional::stream)
                .findFirst();
        if (inOneRack.isPresent()
                || !maySpread && racks.values().stream().anyMatch(rack -> fitsWhenEmpty(rack, step))) {
            return inOneRack;
        }
        return pack(freeCapacity.copy(), eligible, step, quarantine, now);
    }

    /** Returns whether the servers could hold the whole gang if nothing ran on them. */
    static boolean fitsWhenEmpty(Collection<ServerState> servers, StepState step) {
        Resources perTask = step.specification.reserved();
        int limit =
                step.specification.maximumPerServer() == 0 ? Integer.MAX_VALUE : step.specification.maximumPerServer();
        long fitting = servers.stream()
                .mapToLong(server -> Math.min(limit, fittingTasks(server.capacity(), perTask)))
                .sum();
        return fitting >= step.tasks.size();
    }

    private static long fittingTasks(Resources available, Resources perTask) {
        long fitting = Integer.MAX_VALUE;
        if (perTask.milliCores() > 0) {
            fitting = Math.min(fitting, available.milliCores() / perTask.milliCores());
        }
        if (perTask.memoryMebibytes() > 0) {
            fitting = Math.min(fitting, available.memoryMebibytes() / perTask.memoryMebibytes());
        }
        if (perTask.accelerators() > 0) {
            fitting = Math.min(fitting, available.accelerators() / perTask.accelerators());
        }
        return fitting;
    }

    private static boolean matchesAffinity(List<ServerState> rack, StepState step) {
        return rack.getFirst().description.rack().equals(step.specification.affinityRack());
    }

    private static Optional<Map<TaskState, ServerState>> pack(
            FreeCapacity freeCapacity, List<ServerState> servers, StepState step, Quarantine quarantine, long now) {
        Map<TaskState, ServerState> placement = new LinkedHashMap<>();
        Resources perTask = step.specification.reserved();
        Map<ServerState, Integer> taken = new LinkedHashMap<>();
        for (TaskState member : step.tasks) {
            Optional<ServerState> chosen = servers.stream()
                    .filter(server -> quarantine.admits(server, member))
                    .filter(server -> isApartFromSuspects(server, step, member, now))
                    .filter(server -> FreeCapacity.isWithinLimit(server, step, taken.getOrDefault(server, 0)))
                    .filter(server -> freeCapacity.freeOn(server).covers(perTask))
                    .min(preference(freeCapacity, step, member, now));
            if (chosen.isEmpty()) {
                return Optional.empty();
            }
            freeCapacity.allocate(chosen.get(), perTask);
            taken.merge(chosen.get(), 1, Integer::sum);
            placement.put(member, chosen.get());
        }
        return Optional.of(placement);
    }

    /**
     * Returns whether a task that is suspected of crashing servers may be placed on a server. After a crash under two
     * suspects it would be open which of them caused it.
     */
    private static boolean isApartFromSuspects(ServerState server, StepState step, TaskState task, long now) {
        return !task.crashes.isSuspected()
                || now - step.readySince > MAXIMUM_SEPARATION_WAIT_MILLISECONDS
                || !hasOtherSuspect(server, step);
    }

    private static boolean hasOtherSuspect(ServerState server, StepState step) {
        return server.runs.values().stream()
                .anyMatch(run -> !run.survivedStart && run.step != step && run.task.crashes.isSuspected());
    }

    private static Comparator<ServerState> preference(
            FreeCapacity freeCapacity, StepState step, TaskState task, long now) {
        String rack = step.specification.affinityRack();
        return Comparator.comparingInt((ServerState server) -> task.crashes.contains(server.host) ? 1 : 0)
                .thenComparingInt(server -> hasOtherSuspect(server, step) ? 1 : 0)
                .thenComparingInt(server -> task.crashes.isSuspected() ? server.runs.size() : 0)
                .thenComparingInt(server -> Quarantine.contains(server, now) ? 1 : 0)
                .thenComparingInt(server -> task.hasFailedOn(server.id) ? 1 : 0)
                .thenComparingInt(server -> FreeCapacity.interferes(server, step.specification) ? 1 : 0)
                .thenComparingInt(
                        server -> rack.isEmpty() || server.description.rack().equals(rack) ? 0 : 1)
                .thenComparingInt(server -> (int) Math.round(server.failureScore))
                .thenComparingInt(server -> freeCapacity.freeOn(server).accelerators())
                .thenComparingLong(server -> freeCapacity.freeOn(server).milliCores())
                .thenComparing(server -> server.id);
    }
}
