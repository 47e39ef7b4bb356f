package org.teaselwood.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.Team;

/**
 * Queue of waiting jobs with the resource shares of the teams. Mutable, confined to its scheduler's thread.
 *
 * <p>Classes are ranked by response ratio, (wait + typical run time) / typical run time, divided by a penalty that
 * grows with the borrowed capacity of the team relative to its weight. Short jobs therefore go first, rank grows with
 * the wait without limit, and a team that has borrowed more than its share must wait longer. A job that has waited
 * longer than {@value #OVERDUE_MILLISECONDS} ms precedes all jobs that have not, in order of submission.
 */
final class FairQueue {
    /** Wait after which jobs are ordered by submission time alone. */
    static final long OVERDUE_MILLISECONDS = 4 * 3_600_000L;

    private static final long MINIMUM_RUN_TIME_MILLISECONDS = 10_000;
    private static final int DEFAULT_QUEUE_LIMIT = 10_000;

    private static final double OVERDUE_RANK = 1e12;
    private static final double URGENT_FACTOR = 1e6;

    private final RunTimes runTimes;
    private final Map<WaitingClass.Key, WaitingClass> classesByKey = new HashMap<>();
    private final Map<Demand, DemandState> demands = new LinkedHashMap<>();
    private final TreeMap<Integer, WaitingClass> waiting = new TreeMap<>();
    private final Map<String, TreeMap<Integer, WaitingClass>> waitingByTeam = new TreeMap<>();
    private final Map<String, Integer> jobCountByTeam = new TreeMap<>();
    private final Map<String, Double> borrowed = new TreeMap<>();
    private final Map<String, Integer> accelerators = new TreeMap<>();
    private double totalBorrowed;
    private Configuration configuration = Configuration.EMPTY;
    private double totalWeight = 1;
    private int nextNumber;

    FairQueue(RunTimes runTimes) {
        this.runTimes = runTimes;
    }

    void configure(Configuration next) {
        configuration = next;
        totalWeight = Math.max(
                1, next.teams().values().stream().mapToInt(Team::weight).sum());
    }

    /** Returns the classes with at least one waiting job, in order of their creation. */
    Collection<WaitingClass> classes() {
        return waiting.values();
    }

    /** Returns the classes of a team with at least one waiting job. */
    Collection<WaitingClass> classesOf(String team) {
        return waitingByTeam.getOrDefault(team, new TreeMap<>()).values();
    }

    int size(String team) {
        return jobCountByTeam.getOrDefault(team, 0);
    }

    /** Returns the maximum number of waiting jobs of a team. */
    int limit(String team) {
        Team known = configuration.teams().get(team);
        return known == null ? DEFAULT_QUEUE_LIMIT : known.queueLimit();
    }

    void add(TrackedJob job, long nowMilliseconds) {
        job.queuedMilliseconds = nowMilliseconds;
        // A class with failed servers is removed together with its last job, so the class of an earlier wait may no
        // longer be registered.
        job.waitingClass = classOf(job);
        WaitingClass waitingClass = job.waitingClass;
        if (waitingClass.jobs.isEmpty()) {
            refreshRunTimes(waitingClass);
            // Changes of units are recorded only in classes with waiting jobs, so the flag may be out of date.
            waitingClass.unitsFull = false;
            waitingClass.impossibleSinceMilliseconds = -1;
            waiting.put(waitingClass.number, waitingClass);
            waitingByTeam
                    .computeIfAbsent(waitingClass.key.team(), team -> new TreeMap<>())
                    .put(waitingClass.number, waitingClass);
        }
        waitingClass.jobs.put(job.sequence, job);
        jobCountByTeam.merge(waitingClass.key.team(), 1, Integer::sum);
    }

    /** Removes a job from the queue; has no effect if the job is not waiting. */
    void remove(TrackedJob job) {
        WaitingClass waitingClass = job.waitingClass;
        if (waitingClass == null || waitingClass.jobs.remove(job.sequence) == null) {
            return;
        }
        jobCountByTeam.merge(waitingClass.key.team(), -1, Integer::sum);
        if (waitingClass.jobs.isEmpty()) {
            waiting.remove(waitingClass.number);
            waitingByTeam.get(waitingClass.key.team()).remove(waitingClass.number);
            if (!waitingClass.key.failedServers().isEmpty()) {
                classesByKey.remove(waitingClass.key);
                releaseDemand(waitingClass.demand);
            }
        }
    }

    /** Releases a demand. It is kept while another class shares it, so that freed capacity still unblocks it. */
    private void releaseDemand(DemandState demand) {
        demand.classes--;
        if (demand.classes == 0) {
            demands.remove(demand.demand);
        }
    }

    private WaitingClass classOf(TrackedJob job) {
        WaitingClass.Key key = new WaitingClass.Key(
                job.request.team(),
                job.request.template(),
                job.request.idempotent(),
                job.request.urgent(),
                new TreeSet<>(job.failedServers));
        WaitingClass waitingClass = classesByKey.get(key);
        if (waitingClass == null) {
            Demand demand = new Demand(key.template().shape(), key.template().capabilities(), key.failedServers());
            waitingClass = new WaitingClass(key, nextNumber++, demands.computeIfAbsent(demand, DemandState::new));
            waitingClass.demand.classes++;
            classesByKey.put(key, waitingClass);
        }
        return waitingClass;
    }

    /** Allows a new search for all demands that did not fit, after capacity was freed. */
    void unblock() {
        demands.values().forEach(demand -> {
            demand.blocked = false;
            demand.blockedOutsideReservations = false;
        });
    }

    /** Updates the run time estimates of a class from the learned distributions. */
    void refreshRunTimes(WaitingClass waitingClass) {
        waitingClass.typicalRunMilliseconds =
                runTimes.quantile(waitingClass.key.team(), waitingClass.key.template(), 0.5);
        waitingClass.longRunMilliseconds = runTimes.quantile(waitingClass.key.team(), waitingClass.key.template(), 0.9);
    }

    /** Returns the rank of the oldest job of a class; higher ranks go first. */
    double rank(WaitingClass waitingClass, long nowMilliseconds) {
        TrackedJob head = waitingClass.head();
        double wait = Math.max(0, nowMilliseconds - head.request.submittedMilliseconds());
        if (wait >= OVERDUE_MILLISECONDS) {
            return OVERDUE_RANK + wait;
        }
        double run = Math.max(MINIMUM_RUN_TIME_MILLISECONDS, waitingClass.typicalRunMilliseconds);
        double rank = (wait + run) / run / borrowingPenalty(waitingClass.key.team());
        return waitingClass.key.urgent() ? rank * URGENT_FACTOR : rank;
    }

    /**
     * Returns the penalty for borrowing: at least 0.5, and above 1 for a team that has borrowed more than its share.
     */
    private double borrowingPenalty(String team) {
        if (totalBorrowed <= 0) {
            return 1;
        }
        double share = borrowed.getOrDefault(team, 0.0) / totalBorrowed;
        double entitledShare = weight(team) / totalWeight;
        return 0.5 + 0.5 * share / entitledShare;
    }

    private double weight(String team) {
        Team known = configuration.teams().get(team);
        return known == null ? 1 : Math.max(1, known.weight());
    }

    /** Returns the borrowed size of a team per unit of its weight. */
    double borrowedPerWeight(String team) {
        return borrowed.getOrDefault(team, 0.0) / weight(team);
    }

    void addBorrowed(String team, double size) {
        borrowed.merge(team, size, Double::sum);
        totalBorrowed += size;
    }

    void addAccelerators(String team, int count) {
        accelerators.merge(team, count, Integer::sum);
    }

    /** Returns whether the team stays within its accelerator quota when it takes more accelerators. */
    boolean withinQuota(String team, int more) {
        Team known = configuration.teams().get(team);
        return known == null || more == 0 || accelerators.getOrDefault(team, 0) + more <= known.acceleratorQuota();
    }
}
