package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.teaselwood.model.Level;
import org.teaselwood.model.Shape;

/**
 * Starts jobs inside the guarantee of their team. Confined to its scheduler's thread.
 *
 * <p>The following are tried in this order: free capacity in a unit; an empty unit after moving it to free capacity;
 * for work that may borrow, free capacity anywhere; the unit whose borrowers cost the least to preempt. If all of these
 * fail, urgent jobs, jobs that may run only inside the guarantee, and larger jobs may take the unit of ordinary work of
 * their own team, which continues as borrowed work until its resources are needed.
 */
final class GuaranteedJobStarter {
    /**
     * Cost of taking the unit of a job that holds a claim. It exceeds the cost of preempting a running attempt, because
     * the victims of the claim are already stopping.
     */
    private static final long CLAIMED_UNIT_COST = Long.MAX_VALUE / 1_000;

    private final PolicyState state;
    /**
     * Whether to exclude servers on which the job failed. They are retried only if the guarantee has no other position.
     */
    private boolean avoidsFailedServers = true;

    private final BorrowedJobStarter borrowedJobStarter;

    GuaranteedJobStarter(PolicyState state, BorrowedJobStarter borrowedJobStarter) {
        this.state = state;
        this.borrowedJobStarter = borrowedJobStarter;
    }

    /** Tries to start the waiting jobs of all teams whose units or queue changed. */
    void run() {
        // Teams added during the loop are left to the next pass, so that every pass terminates.
        List<String> teams = List.copyOf(state.teamsToTry);
        state.teamsToTry.clear();
        for (String team : teams) {
            if (!state.plan.unitsOf(team).isEmpty()) {
                tryTeam(team);
            }
        }
    }

    private void tryTeam(String team) {
        Comparator<WaitingClass> order = Comparator.<WaitingClass, Boolean>comparing(
                        waitingClass -> !waitingClass.key.urgent())
                .thenComparing(WaitingClass::mayBorrow)
                .thenComparing(waitingClass -> -state.queue.rank(waitingClass, state.nowMilliseconds))
                .thenComparingInt(waitingClass -> waitingClass.number);
        List<WaitingClass> classes =
                state.queue.classesOf(team).stream().sorted(order).toList();
        for (WaitingClass waitingClass : classes) {
            while (!waitingClass.jobs.isEmpty() && !waitingClass.unitsFull) {
                if (!start(waitingClass.head())) {
                    waitingClass.unitsFull = true;
                }
            }
        }
    }

    private boolean start(TrackedJob job) {
        if (!state.queue.withinQuota(job.request.team(), job.accelerators())
                || job.request.deadlineMilliseconds() < state.nowMilliseconds) {
            return false;
        }
        boolean started = startInsideGuarantee(job);
        if (!started && !job.failedServers.isEmpty()) {
            avoidsFailedServers = false;
            started = startInsideGuarantee(job);
            avoidsFailedServers = true;
        }
        return started;
    }

    private boolean mayStart(TrackedJob job, ServerState server) {
        return avoidsFailedServers ? state.mayStart(job, server) : state.mayRun(job, server);
    }

    private boolean startInsideGuarantee(TrackedJob job) {
        List<GuaranteeUnit> units = candidates(job);
        return startOnFreeCapacity(job, units)
                || startOnMovedUnit(job, units)
                || (job.mayBorrow() && !job.request.urgent() && borrowedJobStarter.start(job, true))
                || startByPreemption(job, units)
                || startOnMovedUnitByPreemption(job, units)
                || startInPlaceOfOwnWork(job);
    }

    /**
     * Returns the units in which the job fits beside the present occupants: occupied units first, then smaller units
     * before larger ones.
     */
    private List<GuaranteeUnit> candidates(TrackedJob job) {
        List<GuaranteeUnit> units = new ArrayList<>();
        for (GuaranteeUnit unit : state.plan.unitsOf(job.request.team())) {
            if (unit.isPlaced() && !unit.excess && fits(unit, job, false, server -> true)) {
                units.add(unit);
            }
        }
        units.sort(Comparator.<GuaranteeUnit, Boolean>comparing(GuaranteeUnit::isEmpty)
                .thenComparingInt(unit -> unit.shape.totalAccelerators()));
        return units;
    }

    private boolean fits(GuaranteeUnit unit, TrackedJob job, boolean onlyFree, Predicate<ServerState> usable) {
        return !find(unit, job, onlyFree, usable).isEmpty();
    }

    private List<PartPlacement> find(
            GuaranteeUnit unit, TrackedJob job, boolean onlyFree, Predicate<ServerState> usable) {
        CapacityView capacity = new UnitCapacityView(unit, onlyFree, usable);
        return PlacementSearch.find(cells(unit, job.shape()), job.shape(), capacity);
    }

    private Iterable<List<ServerState>> cells(GuaranteeUnit unit, Shape shape) {
        Level level = shape.parts() == 1 ? Level.REGION : shape.adjacency();
        Map<String, List<ServerState>> cells = new TreeMap<>();
        for (String name : unit.area.keySet()) {
            ServerState server = state.cluster.find(name);
            if (server != null && server.announced() != null) {
                cells.computeIfAbsent(Cluster.cellName(level, server.announced()), cell -> new ArrayList<>())
                        .add(server);
            }
        }
        return cells.values();
    }

    private boolean startOnFreeCapacity(TrackedJob job, List<GuaranteeUnit> units) {
        for (GuaranteeUnit unit : units) {
            List<PartPlacement> found = find(unit, job, true, server -> mayStart(job, server));
            if (!found.isEmpty()) {
                state.place(job, found, unit);
                return true;
            }
        }
        return false;
    }

    private boolean startOnMovedUnit(TrackedJob job, List<GuaranteeUnit> units) {
        Set<Demand> tried = new HashSet<>();
        for (GuaranteeUnit unit : units) {
            boolean untried = unit.isEmpty() && tried.add(new Demand(unit.shape, unit.capabilities, Set.of()));
            if (untried && state.packer.moveToFree(unit, server -> mayStart(job, server))) {
                return startOnFreeCapacity(job, List.of(unit));
            }
        }
        return false;
    }

    private boolean startByPreemption(TrackedJob job, List<GuaranteeUnit> units) {
        return reclaim(job, units) || dropBorrowedClaims(units) && reclaim(job, units);
    }

    /**
     * Drops the claims of borrowed work on the servers of the units and queues the jobs again. Borrowed work is not
     * entitled to resources inside a guarantee.
     */
    private boolean dropBorrowedClaims(List<GuaranteeUnit> units) {
        Set<String> servers = new HashSet<>();
        units.forEach(unit -> servers.addAll(unit.area.keySet()));
        List<TrackedJob> conflicting = state.claims.values().stream()
                .filter(job -> job.unit == null
                        && job.claim.placements().stream().anyMatch(placement -> servers.contains(placement.server())))
                .toList();
        conflicting.forEach(this::demoteOrRequeue);
        return !conflicting.isEmpty();
    }

    private boolean reclaim(TrackedJob job, List<GuaranteeUnit> units) {
        GuaranteeUnit bestUnit = null;
        VictimSearch.Result best = null;
        for (GuaranteeUnit unit : units) {
            VictimSearch.Result found = VictimSearch.cheapest(
                    cells(unit, job.shape()),
                    job.shape(),
                    usableResources(unit, job),
                    attempt -> attempt.job.unit == null,
                    attempt -> PreemptionCosts.of(attempt, state.nowMilliseconds),
                    Long.MAX_VALUE);
            if (found != null && (best == null || found.cost() < best.cost())) {
                best = found;
                bestUnit = unit;
            }
        }
        if (best == null) {
            return false;
        }
        state.claim(job, best, bestUnit, "team " + job.request.team() + " reclaims its guarantee");
        return true;
    }

    /**
     * Starts a job that may not run where its unit is: moves an empty unit to the position whose borrowers cost the
     * least to preempt, and preempts them.
     */
    private boolean startOnMovedUnitByPreemption(TrackedJob job, List<GuaranteeUnit> units) {
        for (GuaranteeUnit unit : units) {
            if (!unit.isEmpty()) {
                continue;
            }
            LayeredCapacityView capacity = new LayeredCapacityView(
                    false,
                    LayeredCapacityView.ExcludedUnits.OCCUPIED,
                    server -> mayStart(job, server) && Cluster.isCapable(server, unit.capabilities));
            VictimSearch.Result found = VictimSearch.cheapest(
                    state.cluster.cells(unit.shape.adjacency()).values(),
                    unit.shape,
                    usableResources(capacity, unit.shape),
                    attempt -> attempt.job.unit == null,
                    attempt -> PreemptionCosts.of(attempt, state.nowMilliseconds),
                    Long.MAX_VALUE);
            if (found != null
                    && state.packer.moveTo(unit, found.placements())
                    && startByPreemption(job, List.of(unit))) {
                return true;
            }
        }
        return false;
    }

    private VictimSearch.UsableResources usableResources(GuaranteeUnit unit, TrackedJob job) {
        return usableResources(new UnitCapacityView(unit, false, server -> mayStart(job, server)), job.shape());
    }

    private static VictimSearch.UsableResources usableResources(CapacityView capacity, Shape shape) {
        return new VictimSearch.UsableResources() {
            @Override
            public long accelerators(ServerState server) {
                return capacity.accelerators(server);
            }

            @Override
            public int maximumParts(ServerState server) {
                return capacity.countFittingParts(server, shape.part());
            }
        };
    }

    private boolean startInPlaceOfOwnWork(TrackedJob job) {
        boolean mustStart = job.request.urgent() || !job.mayBorrow();
        GuaranteeUnit best = null;
        long bestCost = Long.MAX_VALUE;
        for (GuaranteeUnit unit : state.plan.unitsOf(job.request.team())) {
            int used =
                    unit.occupants.stream().mapToInt(TrackedJob::accelerators).sum();
            boolean larger =
                    job.accelerators() > used && unit.occupants.stream().allMatch(occupant -> occupant.attempt != null);
            boolean canBeTaken = (mustStart || larger)
                    && unit.isPlaced()
                    && !unit.excess
                    && !unit.isEmpty()
                    && unit.occupants.stream().allMatch(GuaranteedJobStarter::mayLeaveUnit)
                    && unit.area.keySet().stream().allMatch(name -> mayStartOn(job, name));
            if (canBeTaken && fitsWhenEmpty(unit, job)) {
                long cost = unit.occupants.stream()
                        .mapToLong(occupant -> occupant.attempt == null
                                ? CLAIMED_UNIT_COST
                                : PreemptionCosts.of(occupant.attempt, state.nowMilliseconds))
                        .sum();
                if (cost < bestCost) {
                    best = unit;
                    bestCost = cost;
                }
            }
        }
        if (best == null) {
            return false;
        }
        List.copyOf(best.occupants).forEach(this::demoteOrRequeue);
        List<GuaranteeUnit> units = List.of(best);
        return startOnFreeCapacity(job, units)
                || startOnMovedUnit(job, units)
                || startByPreemption(job, units)
                || startOnMovedUnitByPreemption(job, units);
    }

    private boolean mayStartOn(TrackedJob job, String name) {
        ServerState server = state.cluster.find(name);
        return server != null && mayStart(job, server);
    }

    private static boolean mayLeaveUnit(TrackedJob occupant) {
        return occupant.mayBorrow() && !occupant.request.urgent();
    }

    private void demoteOrRequeue(TrackedJob occupant) {
        if (occupant.attempt != null) {
            state.demote(occupant);
        } else {
            state.dropClaim(occupant);
            state.queue.add(occupant, occupant.queuedMilliseconds);
        }
    }

    private boolean fitsWhenEmpty(GuaranteeUnit unit, TrackedJob job) {
        CapacityView whole = new UnitCapacityView(unit, Map.of(), false, server -> true);
        return !PlacementSearch.find(cells(unit, job.shape()), job.shape(), whole)
                .isEmpty();
    }
}
