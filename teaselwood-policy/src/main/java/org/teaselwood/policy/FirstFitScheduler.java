package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.policy.PolicyDecision.EndJob;
import org.teaselwood.policy.PolicyDecision.Place;

/**
 * Places jobs in order of submission at the first position that fits; a job that does not fit is passed over.
 *
 * <p>This policy ignores guarantees, never preempts and reserves nothing, so large gangs are delayed by later small
 * jobs. It respects gangs, adjacency, capabilities and resources, and is the baseline of the benchmark. The other
 * baselines are this class with another order of servers, with a strict queue, or with servers divided among the teams.
 *
 * <p>Invariant: attempts never hold more on a server than the server announced, except after an adoption or a smaller
 * announcement. Confined to one thread.
 */
public final class FirstFitScheduler implements Scheduler {
    /** Time after which a job ends that no known set of servers could run. Servers may be absent for a short time. */
    static final long IMPOSSIBLE_WAIT_MILLISECONDS = 60_000;

    /** Backoff of a server that refused a hold request, because its view of free resources differs from this one. */
    static final long REFUSAL_BACKOFF_MILLISECONDS = 1_000;

    private final Cluster cluster = new Cluster();
    private final Map<JobIdentifier, TrackedJob> jobs = new TreeMap<>();
    private final TreeMap<Long, TrackedJob> waiting = new TreeMap<>();
    private final Map<Demand, DemandState> demands = new HashMap<>();
    private final Map<String, Integer> waitingCountByTeam = new TreeMap<>();
    private final Comparator<ServerState> serverOrder;
    private final boolean strictQueue;
    private final BiPredicate<String, String> teamMayUse;
    private Configuration configuration = Configuration.EMPTY;
    private long nextSequence;

    /** Creates a first-come, first-fit scheduler over all servers. */
    public FirstFitScheduler() {
        this(null, false, (team, server) -> true);
    }

    /**
     * Creates a variant.
     *
     * @param serverOrder order in which the servers of a cell are filled, null for the order of their names
     * @param strictQueue whether a job that does not fit blocks all later jobs
     * @param teamMayUse whether the work of a team (first) may run on a server (second)
     */
    public FirstFitScheduler(
            Comparator<ServerState> serverOrder, boolean strictQueue, BiPredicate<String, String> teamMayUse) {
        this.serverOrder = serverOrder;
        this.strictQueue = strictQueue;
        this.teamMayUse = teamMayUse;
    }

    @Override
    public List<PolicyDecision> handle(PolicyEvent event, long nowMilliseconds) {
        List<PolicyDecision> decisions = new ArrayList<>();
        switch (event) {
            case PolicyEvent.ConfigurationChanged changed -> configure(changed.configuration());
            case PolicyEvent.ServerJoined joined -> join(joined);
            case PolicyEvent.ServerCordoned cordoned -> cluster.markUnavailable(cordoned.server());
            case PolicyEvent.ServerLost lost -> cluster.markLost(lost.server());
            case PolicyEvent.JobSubmitted submitted -> submit(submitted.request(), decisions);
            case PolicyEvent.JobAdopted adopted -> adopt(adopted);
            case PolicyEvent.JobCancelled cancelled -> cancel(cancelled.job());
            case PolicyEvent.AttemptStarted started -> start(started.attempt(), nowMilliseconds);
            case PolicyEvent.AttemptEnded ended -> end(ended, nowMilliseconds, decisions);
            case PolicyEvent.Tick ignored -> tick(nowMilliseconds, decisions);
            case PolicyEvent.AttemptCheckpointed ignored -> {
                // Nothing is ever preempted, so checkpoints are irrelevant.
            }
            case PolicyEvent.UsageReported ignored -> {
                // Overuse is not limited.
            }
            case PolicyEvent.ProbeEnded ignored -> {
                // No server is quarantined.
            }
        }
        placeWaiting(nowMilliseconds, decisions);
        return decisions;
    }

    private void configure(Configuration next) {
        configuration = next;
        cluster.configure(next);
        demands.values().forEach(demand -> demand.blocked = false);
    }

    private void join(PolicyEvent.ServerJoined joined) {
        cluster.join(joined.server());
        demands.values().forEach(demand -> demand.blocked = false);
    }

    private void submit(JobRequest request, List<PolicyDecision> decisions) {
        if (jobs.containsKey(request.job())) {
            return;
        }
        int limit = configuration.teams().containsKey(request.team())
                ? configuration.teams().get(request.team()).queueLimit()
                : Integer.MAX_VALUE;
        if (waitingCountByTeam.getOrDefault(request.team(), 0) >= limit) {
            decisions.add(
                    new EndJob(request.job(), ErrorKind.QUEUE_FULL, List.of(request.team(), Integer.toString(limit))));
            return;
        }
        TrackedJob job = new TrackedJob(request, nextSequence++);
        jobs.put(request.job(), job);
        enqueue(job);
    }

    private void adopt(PolicyEvent.JobAdopted adopted) {
        TrackedJob job = jobs.computeIfAbsent(
                adopted.request().job(), identifier -> new TrackedJob(adopted.request(), nextSequence++));
        if (job.attempt != null) {
            return;
        }
        dequeue(job);
        job.attemptNumber = Math.max(job.attemptNumber, adopted.attempt().number());
        job.attempt = new TrackedAttempt(
                job, adopted.attempt(), adopted.placements(), adopted.guaranteed(), adopted.startedMilliseconds());
        job.attempt.started = true;
        cluster.hold(adopted.placements(), job.shape().part());
    }

    private void cancel(JobIdentifier identifier) {
        TrackedJob job = jobs.get(identifier);
        if (job == null) {
            return;
        }
        job.cancelled = true;
        if (job.attempt == null) {
            remove(job);
        }
    }

    private void start(AttemptIdentifier identifier, long nowMilliseconds) {
        TrackedAttempt attempt = find(identifier);
        if (attempt != null) {
            attempt.started = true;
            attempt.startedMilliseconds = nowMilliseconds;
        }
    }

    private TrackedAttempt find(AttemptIdentifier identifier) {
        TrackedJob job = jobs.get(identifier.job());
        boolean open = job != null && job.attempt != null && job.attempt.identifier.equals(identifier);
        return open ? job.attempt : null;
    }

    private void end(PolicyEvent.AttemptEnded ended, long nowMilliseconds, List<PolicyDecision> decisions) {
        TrackedAttempt attempt = find(ended.attempt());
        if (attempt == null) {
            return;
        }
        TrackedJob job = attempt.job;
        job.attempt = null;
        cluster.release(attempt.placements, job.shape().part());
        demands.values().forEach(demand -> demand.blocked = false);
        if (ended.result() == AttemptResult.REFUSED) {
            backOff(ended.servers(), nowMilliseconds + REFUSAL_BACKOFF_MILLISECONDS);
        }
        if (ended.result() == AttemptResult.FAILED) {
            job.failures++;
            job.failedServers.addAll(ended.servers());
            job.demand = null;
        }
        boolean finished =
                ended.result() == AttemptResult.SUCCEEDED || ended.result() == AttemptResult.CANCELLED || job.cancelled;
        if (finished) {
            remove(job);
            return;
        }
        RetryRule.endAfter(job, attempt, ended.result())
                .ifPresentOrElse(end -> finish(job, end, decisions), () -> enqueue(job));
    }

    private void backOff(List<String> servers, long untilMilliseconds) {
        servers.stream()
                .map(cluster::find)
                .filter(server -> server != null)
                .forEach(server -> server.backOffUntil(untilMilliseconds));
    }

    private void tick(long nowMilliseconds, List<PolicyDecision> decisions) {
        demands.values().forEach(demand -> demand.blocked = false);
        Map<DemandState, Boolean> possible = new HashMap<>();
        List.copyOf(waiting.values()).forEach(job -> {
            boolean fits = possible.computeIfAbsent(
                    demand(job), demand -> cluster.fitsWhenEmpty(job.shape(), server -> accepts(job, server)));
            expire(job, fits, nowMilliseconds, decisions);
        });
    }

    private void expire(TrackedJob job, boolean fits, long nowMilliseconds, List<PolicyDecision> decisions) {
        if (nowMilliseconds > job.request.deadlineMilliseconds()) {
            finish(job, new EndJob(job.request.job(), ErrorKind.DEADLINE_EXCEEDED, List.of()), decisions);
            return;
        }
        if (fits) {
            job.impossibleSinceMilliseconds = -1;
        } else if (job.impossibleSinceMilliseconds < 0) {
            job.impossibleSinceMilliseconds = nowMilliseconds;
        } else if (nowMilliseconds - job.impossibleSinceMilliseconds >= IMPOSSIBLE_WAIT_MILLISECONDS) {
            String needs = job.shape() + " with " + job.request.template().capabilities();
            finish(job, new EndJob(job.request.job(), ErrorKind.IMPOSSIBLE, List.of(needs)), decisions);
        }
    }

    private void finish(TrackedJob job, EndJob end, List<PolicyDecision> decisions) {
        remove(job);
        decisions.add(end);
    }

    private void remove(TrackedJob job) {
        jobs.remove(job.request.job());
        dequeue(job);
    }

    private void enqueue(TrackedJob job) {
        waiting.put(job.sequence, job);
        waitingCountByTeam.merge(job.request.team(), 1, Integer::sum);
    }

    private void dequeue(TrackedJob job) {
        if (waiting.remove(job.sequence) != null) {
            waitingCountByTeam.merge(job.request.team(), -1, Integer::sum);
        }
    }

    private void placeWaiting(long nowMilliseconds, List<PolicyDecision> decisions) {
        Iterator<TrackedJob> iterator = waiting.values().iterator();
        while (iterator.hasNext()) {
            TrackedJob job = iterator.next();
            DemandState demand = demand(job);
            if (demand.blocked || nowMilliseconds > job.request.deadlineMilliseconds()) {
                if (strictQueue) {
                    return;
                }
                continue;
            }
            List<PartPlacement> placements = PartPacker.pack(
                    cluster,
                    job.shape(),
                    server -> server.isUsable(nowMilliseconds) && accepts(job, server),
                    serverOrder);
            if (placements.isEmpty()) {
                demand.blocked = true;
                if (strictQueue) {
                    return;
                }
                continue;
            }
            iterator.remove();
            waitingCountByTeam.merge(job.request.team(), -1, Integer::sum);
            decisions.add(place(job, placements, nowMilliseconds));
        }
    }

    private DemandState demand(TrackedJob job) {
        if (job.demand == null) {
            Set<String> mayNotUse = new TreeSet<>(job.failedServers);
            // Teams may use different servers, so the outcome for one team does not apply to another.
            mayNotUse.add("team " + job.request.team());
            Demand demand = new Demand(job.shape(), job.request.template().capabilities(), mayNotUse);
            job.demand = demands.computeIfAbsent(demand, DemandState::new);
        }
        return job.demand;
    }

    private Place place(TrackedJob job, List<PartPlacement> placements, long nowMilliseconds) {
        job.attemptNumber++;
        AttemptIdentifier identifier = new AttemptIdentifier(job.request.job(), job.attemptNumber);
        job.attempt = new TrackedAttempt(job, identifier, placements, true, nowMilliseconds);
        cluster.hold(placements, job.shape().part());
        return new Place(identifier, job.attempt.placements, true);
    }

    private boolean accepts(TrackedJob job, ServerState server) {
        return !job.failedServers.contains(server.name())
                && teamMayUse.test(job.request.team(), server.name())
                && Cluster.isCapable(server, job.request.template().capabilities());
    }

    @Override
    public List<String> explain(JobIdentifier identifier, long nowMilliseconds) {
        TrackedJob job = jobs.get(identifier);
        if (job == null) {
            return List.of("job " + identifier + " is not known");
        }
        if (job.attempt != null) {
            return List.of("attempt " + job.attemptNumber + " holds positions " + job.attempt.placements);
        }
        return List.of(
                "waiting behind " + waiting.headMap(job.sequence).size() + " jobs",
                "needs " + job.shape() + " with " + job.request.template().capabilities());
    }

    /** Accepts any configuration, because this policy does not enforce guarantees. */
    @Override
    public void checkGuarantees(Configuration next) {
        // There are no guarantees to check.
    }

    @Override
    public double fragmentation() {
        return Fragmentation.compute(cluster, waiting.values(), configuration);
    }
}
