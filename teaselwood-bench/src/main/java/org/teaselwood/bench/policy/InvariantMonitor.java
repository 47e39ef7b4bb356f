package org.teaselwood.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.model.Guarantee;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.PartResources;
import org.teaselwood.model.Shape;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.policy.Cluster;
import org.teaselwood.policy.Fragmentation;
import org.teaselwood.policy.GuaranteeScheduler;
import org.teaselwood.policy.JobRequest;
import org.teaselwood.policy.PartPlacement;
import org.teaselwood.policy.PolicyDecision;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.policy.ServerState;

/**
 * Checks gangs, guarantees, urgent starts and starvation using only the decisions of the policy, and samples
 * fragmentation. Confined to the thread of its simulation.
 *
 * <p>A team is entitled to start a template while it has more guaranteed shapes that can hold the template than running
 * guaranteed attempts. Each attempt counts as a whole shape, so that the check has no false positives. The check is
 * suspended for {@value #DETECTION_MILLISECONDS} ms after the set of lost servers changes, because the policy cannot
 * know of a loss at once, and while the guarantees cannot be packed on the remaining servers.
 */
final class InvariantMonitor {
    /** Time limit for a reclaim: the grace period of 3 s plus 2 s. */
    static final long RECLAIM_LIMIT_MILLISECONDS = 5_000;
    /** Waiting time after which a job counts as starved: twice the time after which it is overdue. */
    static final long STARVED_MILLISECONDS = 8L * 3_600_000;

    private static final long DETECTION_MILLISECONDS = 30_000;
    private static final long SAMPLE_MILLISECONDS = 10_000;

    /** Whether to print each violation, set by the system property {@code bench.trace}. */
    private static final boolean TRACE = Boolean.getBoolean("bench.trace");

    private final Deployment deployment;
    private final SimulationStatistics statistics;
    private final Cluster cluster = new Cluster();
    private final Map<JobIdentifier, WaitingJob> waiting = new TreeMap<>();
    private final Map<String, Map<Template, Integer>> waitingByTeam = new TreeMap<>();
    private final Map<String, Map<JobIdentifier, JobRequest>> guaranteed = new TreeMap<>();
    private final Map<String, Entitlement> entitlements = new HashMap<>();
    /** Whether the policy implements guarantees. */
    private final boolean checksGuarantees;

    private Set<String> lostServers = Set.of();
    private boolean shortfall;
    private long suspendedUntilMilliseconds;

    InvariantMonitor(Deployment deployment, SimulationStatistics statistics, boolean checksGuarantees) {
        this.checksGuarantees = checksGuarantees;
        this.deployment = deployment;
        this.statistics = statistics;
        deployment.servers().forEach(cluster::join);
    }

    /** Records that a job begins to wait, at its submission or after an attempt. */
    void recordWaiting(JobRequest request, long now) {
        waiting.put(request.job(), new WaitingJob(request, now, entitlement(request)));
        waitingByTeam
                .computeIfAbsent(request.team(), team -> new HashMap<>())
                .merge(request.template(), 1, Integer::sum);
        entitlement(request).update(isEntitled(request), now);
    }

    private void removeWaiting(JobRequest request) {
        if (waiting.remove(request.job()) != null) {
            waitingByTeam.get(request.team()).merge(request.template(), -1, (one, other) -> {
                int sum = one + other;
                return sum == 0 ? null : sum;
            });
        }
    }

    /** Records that a job has ended without a running attempt. */
    void recordEnd(JobRequest request) {
        removeWaiting(request);
    }

    /** Checks a placement and, if the job was entitled to start, records its delay. */
    void recordPlacement(JobRequest request, PolicyDecision.Place place, long now) {
        checkGang(request, place);
        cluster.hold(place.placements(), request.template().shape().part());
        WaitingJob waitingJob = waiting.get(request.job());
        if (waitingJob == null) {
            statistics.gangViolations++;
            return;
        }
        long waited = now - waitingJob.sinceMilliseconds;
        if (waited > STARVED_MILLISECONDS) {
            statistics.starvedJobs++;
        }
        Entitlement entitlement = entitlement(request);
        if (place.guaranteed() && entitlement.sinceMilliseconds >= 0 && isCheckingGuarantees(now)) {
            long delay = now - Math.max(waitingJob.sinceMilliseconds, entitlement.sinceMilliseconds);
            statistics.reclaimMilliseconds.recordValue(delay);
        }
        waitingJob.placedMilliseconds = now;
        if (place.guaranteed()) {
            guaranteed.computeIfAbsent(request.team(), team -> new TreeMap<>()).put(request.job(), request);
            updateTeam(request.team(), now);
        }
        if (!request.urgent()) {
            removeWaiting(request);
        }
    }

    /** Records the start of a job, and its delay if it is urgent. */
    void recordStart(JobRequest request, long now) {
        WaitingJob waitingJob = waiting.get(request.job());
        if (waitingJob != null && waitingJob.urgentEntitledMilliseconds >= 0 && isCheckingGuarantees(now)) {
            statistics.urgentStartMilliseconds.recordValue(now - waitingJob.urgentEntitledMilliseconds);
        }
        removeWaiting(request);
    }

    /** Records that an attempt has released its resources. */
    void recordRelease(JobRequest request, PolicyDecision.Place place, long now) {
        cluster.release(place.placements(), request.template().shape().part());
        removeWaiting(request);
        Map<JobIdentifier, JobRequest> own = guaranteed.get(request.team());
        if (own != null && own.remove(request.job()) != null) {
            updateTeam(request.team(), now);
        }
    }

    /** Records a change of the set of lost servers. */
    void updateLostServers(Set<String> nowLost, long now) {
        lostServers = Set.copyOf(nowLost);
        suspendedUntilMilliseconds = now + DETECTION_MILLISECONDS;
        GuaranteeScheduler packing = new GuaranteeScheduler();
        deployment.servers().stream()
                .filter(server -> !lostServers.contains(server.name()))
                .forEach(server -> packing.handle(new PolicyEvent.ServerJoined(server), now));
        try {
            packing.checkGuarantees(deployment.configuration());
            shortfall = false;
        } catch (TeaselwoodException doNotFit) {
            shortfall = true;
        }
    }

    private boolean isCheckingGuarantees(long now) {
        return checksGuarantees && !shortfall && now >= suspendedUntilMilliseconds;
    }

    /** Checks for jobs that wait although their team is entitled to start them, and samples fragmentation. */
    void tick(long now) {
        if (checksGuarantees) {
            findViolations(now);
        }
        if (now % SAMPLE_MILLISECONDS == 0 && now <= deployment.horizonMilliseconds()) {
            sample();
        }
    }

    private void findViolations(long now) {
        if (!isCheckingGuarantees(now)) {
            entitlements.values().forEach(entitlement -> entitlement.update(false, now));
        }
        Map<Entitlement, Long> oldest = new HashMap<>();
        Map<Entitlement, JobRequest> oldestJobs = new HashMap<>();
        for (WaitingJob waitingJob : waiting.values()) {
            if (waitingJob.placedMilliseconds < 0 && isCheckingGuarantees(now)) {
                Entitlement entitlement = waitingJob.entitlement;
                if (entitlement.checkedMilliseconds != now) {
                    entitlement.checkedMilliseconds = now;
                    entitlement.update(isEntitled(waitingJob.request), now);
                }
                if (oldest.merge(entitlement, waitingJob.sinceMilliseconds, Math::min)
                        == waitingJob.sinceMilliseconds) {
                    oldestJobs.put(entitlement, waitingJob.request);
                }
                if (waitingJob.request.urgent()) {
                    waitingJob.updateUrgent(isEntitledAsUrgent(waitingJob.request), now);
                }
            }
        }
        oldest.forEach((entitlement, since) -> {
            long from = Math.max(since, entitlement.sinceMilliseconds);
            if (entitlement.sinceMilliseconds >= 0
                    && now - from > RECLAIM_LIMIT_MILLISECONDS
                    && !entitlement.violated) {
                entitlement.violated = true;
                statistics.guaranteeViolations++;
                if (TRACE) {
                    System.err.println("violation at " + now + " since " + from + " by "
                            + oldestJobs.get(entitlement).job() + " of "
                            + oldestJobs.get(entitlement).team());
                }
            }
        });
    }

    /** Counts the starved jobs among those that still wait at the end of the simulation. */
    void finish(long now) {
        statistics.starvedJobs += waiting.values().stream()
                .filter(waitingJob ->
                        waitingJob.placedMilliseconds < 0 && now - waitingJob.sinceMilliseconds > STARVED_MILLISECONDS)
                .count();
    }

    private void updateTeam(String team, long now) {
        waitingByTeam.getOrDefault(team, Map.of()).keySet().forEach(template -> {
            Entitlement entitlement = entitlements.get(team + "/" + template.name());
            if (entitlement != null) {
                entitlement.update(remainingEntitlement(team, template, false) > 0, now);
            }
        });
    }

    private Entitlement entitlement(JobRequest request) {
        return entitlements.computeIfAbsent(
                request.team() + "/" + request.template().name(), name -> new Entitlement());
    }

    private boolean isEntitled(JobRequest request) {
        return remainingEntitlement(request.team(), request.template(), false) > 0;
    }

    private boolean isEntitledAsUrgent(JobRequest request) {
        return remainingEntitlement(request.team(), request.template(), true) > 0;
    }

    /** Returns the number of guaranteed shapes that can hold the template, minus the attempts that may occupy one. */
    private long remainingEntitlement(String team, Template template, boolean urgent) {
        long count = 0;
        List<Guarantee> fitting = new ArrayList<>();
        for (Guarantee guarantee : deployment.configuration().teams().get(team).guarantees()) {
            if (canHold(guarantee, template)) {
                fitting.add(guarantee);
                count += guarantee.count();
            }
        }
        for (JobRequest other : guaranteed.getOrDefault(team, Map.of()).values()) {
            boolean fixed =
                    other.urgent() || !other.idempotent() && !other.template().checkpointable();
            boolean occupies = fitting.stream().anyMatch(guarantee -> isLargeEnough(guarantee, other.template()));
            count -= occupies && (!urgent || fixed) ? 1 : 0;
        }
        return count;
    }

    private static boolean canHold(Guarantee guarantee, Template template) {
        return isLargeEnough(guarantee, template) && guarantee.capabilities().containsAll(template.capabilities());
    }

    private static boolean isLargeEnough(Guarantee guarantee, Template template) {
        Shape guaranteedShape = guarantee.shape();
        Shape requestedShape = template.shape();
        PartResources guaranteedPart = guaranteedShape.part();
        PartResources part = requestedShape.part();
        boolean adjacencyFits = requestedShape.parts() == 1
                || requestedShape.adjacency().ordinal()
                        >= guaranteedShape.adjacency().ordinal();
        return adjacencyFits
                && requestedShape.parts() <= guaranteedShape.parts()
                && part.accelerators() <= guaranteedPart.accelerators()
                && part.cores() <= guaranteedPart.cores()
                && part.memoryMebibytes() <= guaranteedPart.memoryMebibytes()
                && (part.slots() <= guaranteedPart.slots());
    }

    private void checkGang(JobRequest request, PolicyDecision.Place place) {
        Shape shape = request.template().shape();
        boolean complete = place.placements().size() == shape.parts();
        boolean adjacent = place.placements().stream()
                        .map(placement -> cluster.find(placement.server()))
                        .map(server -> Cluster.cellName(shape.adjacency(), server.announced()))
                        .distinct()
                        .count()
                == 1;
        boolean fits = true;
        List<PartPlacement> taken = new ArrayList<>();
        for (PartPlacement placement : place.placements()) {
            ServerState server = cluster.find(placement.server());
            long bits = bits(placement.firstAccelerator(), shape.part().accelerators());
            fits &= server.countFittingParts(shape.part()) > 0
                    && (server.freeAccelerators() & bits) == bits
                    && server.announced()
                            .capabilities()
                            .containsAll(request.template().capabilities());
            cluster.hold(List.of(placement), shape.part());
            taken.add(placement);
        }
        cluster.release(taken, shape.part());
        if (!complete || !adjacent || !fits) {
            statistics.gangViolations++;
        }
    }

    private static long bits(int first, int length) {
        return length == 0 ? 0 : ((1L << length) - 1) << first;
    }

    private void sample() {
        Comparator<Shape> bySize = Comparator.<Shape>comparingInt(Shape::totalAccelerators)
                .thenComparingInt(shape -> shape.part().accelerators())
                .thenComparing(Shape::toString);
        Map<Shape, Set<String>> needs = new HashMap<>();
        waiting.values().stream()
                .filter(waitingJob -> waitingJob.placedMilliseconds < 0
                        && !waitingJob.request.template().name().endsWith("-wide"))
                .map(waitingJob -> waitingJob.request.template())
                .distinct()
                .forEach(template -> needs.put(template.shape(), template.capabilities()));
        deployment
                .configuration()
                .teams()
                .values()
                .forEach(team -> team.guarantees()
                        .forEach(guarantee -> needs.putIfAbsent(guarantee.shape(), guarantee.capabilities())));
        needs.keySet().stream()
                .max(bySize)
                .ifPresent(shape ->
                        statistics.recordFragmentation(Fragmentation.compute(cluster, shape, needs.get(shape))));
    }

    /** A waiting job. Urgent jobs count as waiting until they have started. */
    private static final class WaitingJob {
        private final JobRequest request;
        private final long sinceMilliseconds;
        private final Entitlement entitlement;
        private long placedMilliseconds = -1;
        private long urgentEntitledMilliseconds = -1;

        WaitingJob(JobRequest request, long sinceMilliseconds, Entitlement entitlement) {
            this.request = request;
            this.entitlement = entitlement;
            this.sinceMilliseconds = sinceMilliseconds;
        }

        void updateUrgent(boolean entitled, long now) {
            if (!entitled) {
                urgentEntitledMilliseconds = -1;
            } else if (urgentEntitledMilliseconds < 0) {
                urgentEntitledMilliseconds = Math.max(sinceMilliseconds, now - Simulation.TICK_MILLISECONDS);
            }
        }
    }

    /** The time since when a team has been entitled to start a template, or -1 if it is not entitled. */
    private static final class Entitlement {
        private long sinceMilliseconds = -1;
        private long checkedMilliseconds = -1;
        private boolean violated;

        void update(boolean entitled, long now) {
            if (!entitled) {
                sinceMilliseconds = -1;
                violated = false;
            } else if (sinceMilliseconds < 0) {
                sinceMilliseconds = now;
            }
        }
    }
}
