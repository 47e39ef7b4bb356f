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

    private static final long SHORTEST_RUN_MILLISECONDS = 10_000;
    private static final int DEFAULT_QUEUE_LIMIT = 10_000;

    private static final double OVERDUE_RANK = 1e12;
    private static final double URGENT_FACTOR = 1e6;

    private final RunTimes runTimes;
    private final Map<WaitingClass.Key, WaitingClass> known = new HashMap<>();
    private final Map<Demand, DemandState> demands = new LinkedHashMap<>();
    private final TreeMap<Integer, WaitingClass> waiting = new TreeMap<>();
    private final Map<String, TreeMap<Integer, WaitingClass>> waitingOfTeam = new TreeMap<>();
    private final Map<String, Integer> jobsOfTeam = new TreeMap<>();
    private final Map<String, Double> borrowed = new TreeMap<>();
    private final Map<String, Integer> accelerators = new TreeMap<>();
    private double borrowedOfAll;
    private Configuration configuration = Configuration.EMPTY;
    private double weightOfAll = 1;
    private int nextNumber;

    FairQueue(RunTimes runTimes) {
        this.runTimes = runTimes;
    }

    void configure(Configuration next) {
        configuration = next;
        weightOfAll = Math.max(
                1, next.teams().values().stream().mapToInt(Team::weight).sum());
    }

    /** Returns the classes with at least one waiting job, in order of their creation. */
    Collection<WaitingClass> classes() {
        return waiting.values();
    }

    /** Returns the classes of a team with at least one waiting job. */
    Collection<WaitingClass> classesOf(String team) {
        return waitingOfTeam.getOrDefault(team, new TreeMap<>()).values();
    }

    int size(String team) {
        return jobsOfTeam.getOrDefault(team, 0);
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
        WaitingClass home = job.waitingClass;
        if (home.jobs.isEmpty()) {
            refresh(home);
            // Changes of units are recorded only in classes with waiting jobs, so the flag may be out of date.
            home.unitsFull = false;
            home.impossibleSinceMilliseconds = -1;
            waiting.put(home.number, home);
            waitingOfTeam
                    .computeIfAbsent(home.key.team(), team -> new TreeMap<>())
                    .put(home.number, home);
        }
        home.jobs.put(job.sequence, job);
        jobsOfTeam.merge(home.key.team(), 1, Integer::sum);
    }

    /** Removes a job from the queue; has no effect if the job is not waiting. */
    void remove(TrackedJob job) {
        WaitingClass home = job.waitingClass;
        if (home == null || home.jobs.remove(job.sequence) == null) {
            return;
        }
        jobsOfTeam.merge(home.key.team(), -1, Integer::sum);
        if (home.jobs.isEmpty()) {
            waiting.remove(home.number);
            waitingOfTeam.get(home.key.team()).remove(home.number);
            if (!home.key.failedServers().isEmpty()) {
                known.remove(home.key);
                dropDemand(home.demand);
            }
        }
    }

    /** Releases a demand. It is kept while another class shares it, so that freed capacity still unblocks it. */
    private void dropDemand(DemandState demand) {
        demand.classes--;
        if (demand.classes == 0) {
            demands.remove(demand.demand);
        }
    }

    private WaitingClass classOf(TrackedJob job) {
        WaitingClass.Key key = new WaitingClass.Key(
                job.request.team(),
                job.request.template(),
                job.request.repeatable(),
                job.request.urgent(),
                new TreeSet<>(job.failedServers));
        WaitingClass home = known.get(key);
        if (home == null) {
            Demand demand = new Demand(key.template().shape(), key.template().capabilities(), key.failedServers());
            home = new WaitingClass(key, nextNumber++, demands.computeIfAbsent(demand, DemandState::new));
            home.demand.classes++;
            known.put(key, home);
        }
        return home;
    }

    /** Allows a new search for all demands that did not fit, after capacity was freed. */
    void unblock() {
        demands.values().forEach(demand -> {
            demand.blocked = false;
            demand.blockedOutsideReservations = false;
        });
    }

    /** Updates the run time estimates of a class from the learned distributions. */
    void refresh(WaitingClass home) {
        home.typicalRunMilliseconds = runTimes.quantile(home.key.team(), home.key.template(), 0.5);
        home.longRunMilliseconds = runTimes.quantile(home.key.team(), home.key.template(), 0.9);
    }

    /** Returns the rank of the oldest job of a class; higher ranks go first. */
    double rank(WaitingClass home, long nowMilliseconds) {
        TrackedJob head = home.head();
        double wait = Math.max(0, nowMilliseconds - head.request.submittedMilliseconds());
        if (wait >= OVERDUE_MILLISECONDS) {
            return OVERDUE_RANK + wait;
        }
        double run = Math.max(SHORTEST_RUN_MILLISECONDS, home.typicalRunMilliseconds);
        double rank = (wait + run) / run / crowding(home.key.team());
        return home.key.urgent() ? rank * URGENT_FACTOR : rank;
    }

    /**
     * Returns the penalty for borrowing: at least 0.5, and above 1 for a team that has borrowed more than its share.
     */
    private double crowding(String team) {
        if (borrowedOfAll <= 0) {
            return 1;
        }
        double share = borrowed.getOrDefault(team, 0.0) / borrowedOfAll;
        double entitled = weight(team) / weightOfAll;
        return 0.5 + 0.5 * share / entitled;
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
        borrowedOfAll += size;
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
