package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.teaselwood.workload.model.Resources;
import org.teaselwood.workload.model.StepSpecification;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Free resources of the usable backend servers during one placement pass. Mutable; confined to one pass.
 *
 * <p>Invariant: callers allocate only what is free by the server's reported capacity, so that a server that accepts
 * every order is not overloaded.
 */
final class Room {
    private final Map<ServerState, Resources> free = new LinkedHashMap<>();
    private final Map<ServerState, Integer> takenByStep = new LinkedHashMap<>();
    private final long now;

    Room(Collection<ServerState> servers, long now) {
        this.now = now;
        servers.stream()
                .filter(server -> server.usable(now, WorkloadTimings.SUSPECT_MILLISECONDS))
                .forEach(server -> free.put(server, server.free()));
    }

    private Room(Map<ServerState, Resources> free, Map<ServerState, Integer> takenByStep, long now) {
        this.now = now;
        this.free.putAll(free);
        this.takenByStep.putAll(takenByStep);
    }

    /** Returns an independent copy for a trial placement. */
    Room copy() {
        return new Room(free, takenByStep, now);
    }

    Resources freeOf(ServerState server) {
        return free.getOrDefault(server, Resources.NONE);
    }

    /** Returns the number of free accelerators on all usable servers. */
    int freeAccelerators() {
        return free.values().stream()
                .mapToInt(room -> Math.max(0, room.accelerators()))
                .sum();
    }

    void take(ServerState server, Resources resources) {
        free.computeIfPresent(server, (key, room) -> room.minus(resources));
    }

    void release(ServerState server, Resources resources) {
        free.computeIfPresent(server, (key, room) -> room.plus(resources));
    }

    /** Counts a task of the current step towards its limit per server. */
    void countForStep(ServerState server) {
        takenByStep.merge(server, 1, Integer::sum);
    }

    /** Resets the counts of {@link #countForStep} before the next step. */
    void nextStep() {
        takenByStep.clear();
    }

    /** Returns the eligible servers with enough free resources for one task of the step. */
    Stream<ServerState> fitting(String service, StepState step) {
        Resources each = step.specification.reserved();
        return eligibleOf(
                free.entrySet().stream()
                        .filter(server -> server.getValue().covers(each))
                        .map(Map.Entry::getKey),
                service,
                step);
    }

    /**
     * Returns the servers that may run the step by service, label, limit per server and advice, whatever is free there.
     */
    Stream<ServerState> eligible(String service, StepState step) {
        return eligibleOf(free.keySet().stream(), service, step);
    }

    /** Returns the servers that could run the step if the advice service, not asked about them yet, permitted it. */
    Stream<ServerState> unadvised(String service, StepState step) {
        return suitable(free.keySet().stream(), service, step)
                .filter(server -> server.capacity().covers(step.specification.reserved()))
                .filter(server -> step.advice.isUnknown(server, now));
    }

    private Stream<ServerState> eligibleOf(Stream<ServerState> servers, String service, StepState step) {
        return suitable(servers, service, step).filter(server -> step.advice.permits(server, now));
    }

    private Stream<ServerState> suitable(Stream<ServerState> servers, String service, StepState step) {
        StepSpecification specification = step.specification;
        return servers.filter(server -> server.description.service().equals(service))
                .filter(server -> specification.selector().isEmpty()
                        || server.description.labels().contains(specification.selector()))
                .filter(server -> withinLimit(server, step));
    }

    /** Returns the eligible servers by rack, sorted by the name of the rack. */
    Map<String, List<ServerState>> racks(String service, StepState step) {
        return eligible(service, step)
                .collect(Collectors.groupingBy(server -> server.description.rack(), TreeMap::new, Collectors.toList()));
    }

    private boolean withinLimit(ServerState server, StepState step) {
        int limit = step.specification.maximumPerServer();
        if (limit == 0) {
            return true;
        }
        long present =
                server.runs.values().stream().filter(run -> run.step == step).count();
        return present + takenByStep.getOrDefault(server, 0) < limit;
    }

    /** Returns whether the step would put filling and latency-sensitive tasks together on the server. */
    static boolean disturbs(ServerState server, StepSpecification specification) {
        return (specification.fills() || specification.latencyTargetMilliseconds() > 0)
                && server.runs.values().stream().anyMatch(run -> disturbs(run, specification));
    }

    private static boolean disturbs(Run run, StepSpecification specification) {
        return run.step.specification.fills() && specification.latencyTargetMilliseconds() > 0
                || specification.fills() && run.step.specification.latencyTargetMilliseconds() > 0;
    }
}
