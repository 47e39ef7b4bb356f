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
final class FreeCapacity {
    /** Number of servers for each one that may be taken out of use at a time. */
    private static final int SERVERS_PER_ISOLATED_SERVER = 4;

    private final Map<ServerState, Resources> free = new LinkedHashMap<>();
    private final long now;
    private int isolated;

    FreeCapacity(Collection<ServerState> servers, long now) {
        this.now = now;
        servers.stream()
                .filter(server -> server.isUsable(now, WorkloadTimings.UNRESPONSIVE_AFTER_MILLISECONDS))
                .forEach(server -> free.put(server, server.free()));
        List.copyOf(free.keySet()).stream()
                .filter(server -> server.runs.values().stream().anyMatch(Run::needsIsolation))
                .forEach(this::isolate);
    }

    private FreeCapacity(Map<ServerState, Resources> free, long now) {
        this.now = now;
        this.free.putAll(free);
    }

    /** Returns an independent copy for a trial placement. */
    FreeCapacity copy() {
        return new FreeCapacity(free, now);
    }

    /**
     * Places nothing more on a server that a new run may crash, as long as no more than a share of the servers is taken
     * out of use.
     */
    void isolate(ServerState server) {
        int total = free.size() + isolated;
        if (isolated < Math.max(1, total / SERVERS_PER_ISOLATED_SERVER) && total > 1 && free.remove(server) != null) {
            isolated++;
        }
    }

    Resources freeOn(ServerState server) {
        return free.getOrDefault(server, Resources.NONE);
    }

    /** Returns the number of free accelerators on all usable servers. */
    int freeAccelerators() {
        return free.values().stream()
                .mapToInt(resources -> Math.max(0, resources.accelerators()))
                .sum();
    }

    /** Returns whether more than half of a service is free, by accelerators or by equivalent cores. */
    boolean isMostlyFree(String service) {
        int accelerators = 0;
        double cores = 0;
        for (Map.Entry<ServerState, Resources> server : free.entrySet()) {
            if (server.getKey().description.service().equals(service)) {
                Resources capacity = server.getKey().capacity();
                accelerators += 2 * server.getValue().accelerators() - capacity.accelerators();
                cores += 2 * server.getValue().equivalentCores() - capacity.equivalentCores();
            }
        }
        return accelerators > 0 || cores > 0;
    }

    /** Returns the number of usable servers of a service. */
    long serverCount(String service) {
        return free.keySet().stream()
                .filter(server -> server.description.service().equals(service))
                .count();
    }

    void allocate(ServerState server, Resources resources) {
        free.computeIfPresent(server, (key, current) -> current.minus(resources));
    }

    void release(ServerState server, Resources resources) {
        free.computeIfPresent(server, (key, current) -> current.plus(resources));
    }

    /** Returns the eligible servers with enough free resources for one task of the step. */
    Stream<ServerState> fitting(String service, StepState step) {
        Resources perTask = step.specification.reserved();
        return eligibleOf(
                free.entrySet().stream()
                        .filter(server -> server.getValue().covers(perTask))
                        .map(Map.Entry::getKey),
                service,
                step);
    }

    /**
     * Returns the servers that may run the step by service, label, limit per server and advice, regardless of their
     * free resources.
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
                .filter(server -> isWithinLimit(server, step, 0));
    }

    /** Returns the eligible servers by rack, sorted by the name of the rack. */
    Map<String, List<ServerState>> racks(String service, StepState step) {
        return eligible(service, step)
                .collect(Collectors.groupingBy(server -> server.description.rack(), TreeMap::new, Collectors.toList()));
    }

    /**
     * Returns whether a further task of the step would keep to its limit per server.
     *
     * @param planned number of tasks of the step that are to run on the server besides the runs on record
     */
    static boolean isWithinLimit(ServerState server, StepState step, int planned) {
        int limit = step.specification.maximumPerServer();
        if (limit == 0) {
            return true;
        }
        long present =
                server.runs.values().stream().filter(run -> run.step == step).count();
        return present + planned < limit;
    }

    /** Returns whether the step would put best-effort and latency-sensitive tasks together on the server. */
    static boolean interferes(ServerState server, StepSpecification specification) {
        return (specification.bestEffort() || specification.latencyTargetMilliseconds() > 0)
                && server.runs.values().stream().anyMatch(run -> interferes(run, specification));
    }

    private static boolean interferes(Run run, StepSpecification specification) {
        return run.step.specification.bestEffort() && specification.latencyTargetMilliseconds() > 0
                || specification.bestEffort() && run.step.specification.latencyTargetMilliseconds() > 0;
    }
}
