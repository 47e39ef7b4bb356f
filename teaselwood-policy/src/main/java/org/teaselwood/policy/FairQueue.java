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
 * Waiting jobs and the shares of the teams. Mutable, confined to its scheduler's thread.
 *
 * <p>Classes are ranked by response ratio, (wait + typical run) / typical run, divided by the team's use of borrowed
 * capacity for its weight relative to the mean. Short jobs go first, every wait raises the rank without limit, and a
 * team that has borrowed more than others must have waited longer. A job that has waited longer than
 * {@value #OVERDUE_MILLISECONDS} ms goes before all that have not, in order of arrival.
 */
final class FairQueue {
    /** After this wait the order is by arrival alone. */
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

    /** Classes with at least one waiting job, in order of their creation. */
    Collection<WaitingClass> classes() {
        return waiting.values();
    }

    /** Waiting classes of a team. */
    Collection<WaitingClass> classesOf(String team) {
        return waitingOfTeam.getOrDefault(team, new TreeMap<>()).values();
    }

    int size(String team) {
        return jobsOfTeam.getOrDefault(team, 0);
    }

    /** Most jobs of a team that may wait. */
    int limit(String team) {
        Team known = configuration.teams().get(team);
        return known == null ? DEFAULT_QUEUE_LIMIT : known.queueLimit();
    }

    void add(TrackedJob job, long nowMilliseconds) {
        job.queuedMilliseconds = nowMilliseconds;
        // A class of jobs that failed somewhere is dropped with its last job, so an earlier one may be out of use.
        job.waitingClass = classOf(job);
        WaitingClass home = job.waitingClass;
        if (home.jobs.isEmpty()) {
            refresh(home);
            // Units may have changed while no job of the class waited, and only waiting classes are told.
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

    /** Removes a job; nothing happens when it does not wait. */
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

    /** A demand that another class shares stays, so that freed capacity unblocks it. */
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

    /** Capacity was freed; demands that did not fit are tried again. */
    void unblock() {
        demands.values().forEach(demand -> {
            demand.blocked = false;
            demand.blockedOutsideReservations = false;
        });
    }

    /** Takes newly learned run times into account. */
    void refresh(WaitingClass home) {
        home.typicalRunMilliseconds = runTimes.quantile(home.key.team(), home.key.template(), 0.5);
        home.longRunMilliseconds = runTimes.quantile(home.key.team(), home.key.template(), 0.9);
    }

    /** Rank of the oldest job of a class; a higher one goes first. */
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

    /** At least 0.5; above 1 for a team that has borrowed more than its share. */
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

    /** Borrowed size of a team for each unit of its weight. */
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

    /** Whether a team may hold more accelerators. */
    boolean withinQuota(String team, int more) {
        Team known = configuration.teams().get(team);
        return known == null || more == 0 || accelerators.getOrDefault(team, 0) + more <= known.acceleratorQuota();
    }
}
