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
 * Checks gangs, guarantees, urgent starts and starvation from the decisions alone, and samples fragmentation. Confined
 * to the thread of its simulation.
 *
 * <p>A team is entitled to start a template while fewer of its guaranteed attempts run than it has guaranteed shapes
 * that hold the template. Each attempt counts as a whole shape, so the check never blames a policy wrongly. It pauses
 * for {@value #DETECTION_MILLISECONDS} ms after a server died, since nobody can know of it, and while the guarantees
 * cannot be packed on the servers that are left.
 */
final class Referee {
    /** A reclaim takes at most the grace of 3 s and 2 s more. */
    static final long RECLAIM_LIMIT_MILLISECONDS = 5_000;
    /** A job that waits longer without running counts as starved: twice the wait after which it is overdue. */
    static final long STARVED_MILLISECONDS = 8L * 3_600_000;

    private static final long DETECTION_MILLISECONDS = 30_000;
    private static final long SAMPLE_MILLISECONDS = 10_000;

    /** Set by the system property {@code bench.trace}: tells each violation. */
    private static final boolean TRACE = Boolean.getBoolean("bench.trace");

    private final Deployment deployment;
    private final Figures figures;
    private final Cluster cluster = new Cluster();
    private final Map<JobIdentifier, Waiting> waiting = new TreeMap<>();
    private final Map<String, Map<Template, Integer>> waitingByTeam = new TreeMap<>();
    private final Map<String, Map<JobIdentifier, JobRequest>> guaranteed = new TreeMap<>();
    private final Map<String, Entitlement> entitlements = new HashMap<>();
    /** Whether the policy knows guarantees at all. */
    private final boolean watchesGuarantees;

    private Set<String> down = Set.of();
    private boolean shortfall;
    private long blindUntilMilliseconds;

    Referee(Deployment deployment, Figures figures, boolean watchesGuarantees) {
        this.watchesGuarantees = watchesGuarantees;
        this.deployment = deployment;
        this.figures = figures;
        deployment.servers().forEach(cluster::join);
    }

    /** A job begins to wait, at its submission or after an attempt. */
    void waits(JobRequest request, long now) {
        waiting.put(request.job(), new Waiting(request, now, entitlement(request)));
        waitingByTeam
                .computeIfAbsent(request.team(), team -> new HashMap<>())
                .merge(request.template(), 1, Integer::sum);
        entitlement(request).update(isEntitled(request), now);
    }

    private void stopsWaiting(JobRequest request) {
        if (waiting.remove(request.job()) != null) {
            waitingByTeam.get(request.team()).merge(request.template(), -1, (one, other) -> {
                int sum = one + other;
                return sum == 0 ? null : sum;
            });
        }
    }

    /** A job ended without an attempt. */
    void gone(JobRequest request) {
        stopsWaiting(request);
    }

    /** Checks a placement and records how long it took if the job was entitled to start. */
    void placed(JobRequest request, PolicyDecision.Place place, long now) {
        checkGang(request, place);
        cluster.hold(place.placements(), request.template().shape().part());
        Waiting waits = waiting.get(request.job());
        if (waits == null) {
            figures.gangViolations++;
            return;
        }
        long waited = now - waits.sinceMilliseconds;
        if (waited > STARVED_MILLISECONDS) {
            figures.starvedJobs++;
        }
        Entitlement entitlement = entitlement(request);
        if (place.guaranteed() && entitlement.sinceMilliseconds >= 0 && isWatching(now)) {
            long took = now - Math.max(waits.sinceMilliseconds, entitlement.sinceMilliseconds);
            figures.reclaimMilliseconds.recordValue(took);
        }
        waits.placedMilliseconds = now;
        if (place.guaranteed()) {
            guaranteed.computeIfAbsent(request.team(), team -> new TreeMap<>()).put(request.job(), request);
            updateTeam(request.team(), now);
        }
        if (!request.urgent()) {
            stopsWaiting(request);
        }
    }

    /** Records the start of urgent work. */
    void started(JobRequest request, long now) {
        Waiting waits = waiting.get(request.job());
        if (waits != null && waits.urgentEntitledMilliseconds >= 0 && isWatching(now)) {
            figures.urgentStartMilliseconds.recordValue(now - waits.urgentEntitledMilliseconds);
        }
        stopsWaiting(request);
    }

    /** An attempt holds nothing any more. */
    void freed(JobRequest request, PolicyDecision.Place place, long now) {
        cluster.release(place.placements(), request.template().shape().part());
        stopsWaiting(request);
        Map<JobIdentifier, JobRequest> own = guaranteed.get(request.team());
        if (own != null && own.remove(request.job()) != null) {
            updateTeam(request.team(), now);
        }
    }

    /** Servers that are down changed. */
    void outage(Set<String> nowDown, long now) {
        down = Set.copyOf(nowDown);
        blindUntilMilliseconds = now + DETECTION_MILLISECONDS;
        GuaranteeScheduler judge = new GuaranteeScheduler();
        deployment.servers().stream()
                .filter(server -> !down.contains(server.name()))
                .forEach(server -> judge.handle(new PolicyEvent.ServerJoined(server), now));
        try {
            judge.checkGuarantees(deployment.configuration());
            shortfall = false;
        } catch (TeaselwoodException doNotFit) {
            shortfall = true;
        }
    }

    private boolean isWatching(long now) {
        return watchesGuarantees && !shortfall && now >= blindUntilMilliseconds;
    }

    /** Looks for work that waits although its team is entitled to start it, and samples fragmentation. */
    void tick(long now) {
        if (watchesGuarantees) {
            lookForViolations(now);
        }
        if (now % SAMPLE_MILLISECONDS == 0 && now <= deployment.horizonMilliseconds()) {
            sample();
        }
    }

    private void lookForViolations(long now) {
        if (!isWatching(now)) {
            entitlements.values().forEach(entitlement -> entitlement.update(false, now));
        }
        Map<Entitlement, Long> oldest = new HashMap<>();
        Map<Entitlement, JobRequest> oldestJobs = new HashMap<>();
        for (Waiting waits : waiting.values()) {
            if (waits.placedMilliseconds < 0 && isWatching(now)) {
                Entitlement entitlement = waits.entitlement;
                if (entitlement.checkedMilliseconds != now) {
                    entitlement.checkedMilliseconds = now;
                    entitlement.update(isEntitled(waits.request), now);
                }
                if (oldest.merge(entitlement, waits.sinceMilliseconds, Math::min) == waits.sinceMilliseconds) {
                    oldestJobs.put(entitlement, waits.request);
                }
                if (waits.request.urgent()) {
                    waits.updateUrgent(isEntitledAsUrgent(waits.request), now);
                }
            }
        }
        oldest.forEach((entitlement, since) -> {
            long from = Math.max(since, entitlement.sinceMilliseconds);
            if (entitlement.sinceMilliseconds >= 0
                    && now - from > RECLAIM_LIMIT_MILLISECONDS
                    && !entitlement.violated) {
                entitlement.violated = true;
                figures.guaranteeViolations++;
                if (TRACE) {
                    System.err.println("violation at " + now + " since " + from + " by "
                            + oldestJobs.get(entitlement).job() + " of "
                            + oldestJobs.get(entitlement).team());
                }
            }
        });
    }

    /** Counts what still waits at the end. */
    void finish(long now) {
        figures.starvedJobs += waiting.values().stream()
                .filter(waits -> waits.placedMilliseconds < 0 && now - waits.sinceMilliseconds > STARVED_MILLISECONDS)
                .count();
    }

    private void updateTeam(String team, long now) {
        waitingByTeam.getOrDefault(team, Map.of()).keySet().forEach(template -> {
            Entitlement entitlement = entitlements.get(team + "/" + template.name());
            if (entitlement != null) {
                entitlement.update(free(team, template, false) > 0, now);
            }
        });
    }

    private Entitlement entitlement(JobRequest request) {
        return entitlements.computeIfAbsent(
                request.team() + "/" + request.template().name(), name -> new Entitlement());
    }

    private boolean isEntitled(JobRequest request) {
        return free(request.team(), request.template(), false) > 0;
    }

    private boolean isEntitledAsUrgent(JobRequest request) {
        return free(request.team(), request.template(), true) > 0;
    }

    /** Guaranteed shapes that hold the template, less the attempts that may occupy one of them. */
    private long free(String team, Template template, boolean urgent) {
        long count = 0;
        List<Guarantee> fitting = new ArrayList<>();
        for (Guarantee guarantee : deployment.configuration().teams().get(team).guarantees()) {
            if (holds(guarantee, template)) {
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

    private static boolean holds(Guarantee guarantee, Template template) {
        return isLargeEnough(guarantee, template) && guarantee.capabilities().containsAll(template.capabilities());
    }

    private static boolean isLargeEnough(Guarantee guarantee, Template template) {
        Shape promised = guarantee.shape();
        Shape wanted = template.shape();
        PartResources most = promised.part();
        PartResources part = wanted.part();
        boolean near = wanted.parts() == 1
                || wanted.adjacency().ordinal() >= promised.adjacency().ordinal();
        return near
                && wanted.parts() <= promised.parts()
                && part.accelerators() <= most.accelerators()
                && part.cores() <= most.cores()
                && part.memoryMebibytes() <= most.memoryMebibytes()
                && (part.slots() <= most.slots());
    }

    private void checkGang(JobRequest request, PolicyDecision.Place place) {
        Shape shape = request.template().shape();
        boolean whole = place.placements().size() == shape.parts();
        boolean together = place.placements().stream()
                        .map(placement -> cluster.find(placement.server()))
                        .map(server -> Cluster.cellName(shape.adjacency(), server.announced()))
                        .distinct()
                        .count()
                == 1;
        boolean room = true;
        List<PartPlacement> taken = new ArrayList<>();
        for (PartPlacement placement : place.placements()) {
            ServerState server = cluster.find(placement.server());
            long bits = bits(placement.firstAccelerator(), shape.part().accelerators());
            room &= server.countFittingParts(shape.part()) > 0
                    && (server.freeAccelerators() & bits) == bits
                    && server.announced()
                            .capabilities()
                            .containsAll(request.template().capabilities());
            cluster.hold(List.of(placement), shape.part());
            taken.add(placement);
        }
        cluster.release(taken, shape.part());
        if (!whole || !together || !room) {
            figures.gangViolations++;
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
                .filter(waits -> waits.placedMilliseconds < 0
                        && !waits.request.template().name().endsWith("-wide"))
                .map(waits -> waits.request.template())
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
                .ifPresent(shape -> figures.fragmentation(Fragmentation.compute(cluster, shape, needs.get(shape))));
    }

    /** A job that waits; urgent jobs stay here until they have started. */
    private static final class Waiting {
        private final JobRequest request;
        private final long sinceMilliseconds;
        private final Entitlement entitlement;
        private long placedMilliseconds = -1;
        private long urgentEntitledMilliseconds = -1;

        Waiting(JobRequest request, long sinceMilliseconds, Entitlement entitlement) {
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

    /** Since when a team is entitled to start a template, -1 while it is not. */
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
