package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.policy.PolicyDecision.EndJob;
import org.teaselwood.policy.PolicyDecision.Place;
import org.teaselwood.policy.PolicyDecision.Preempt;

/**
 * State of the guarantee policy, with the operations that keep its parts consistent: opening and closing attempts,
 * claims, and changes between guaranteed and borrowed work. Mutable, confined to its scheduler's thread.
 */
final class PolicyState {
    /** Time that a preempted attempt has to take a checkpoint. */
    static final long RECLAIM_GRACE_MILLISECONDS = 3_000;

    final Cluster cluster = new Cluster();
    final GuaranteePlan plan = new GuaranteePlan(cluster);
    final UnitPacker packer = new UnitPacker(cluster, plan);
    final RunTimes runTimes = new RunTimes();
    final FairQueue queue = new FairQueue(runTimes);
    final ServerHealth health = new ServerHealth(cluster);
    final RetryBudget retries = new RetryBudget();
    final Map<JobIdentifier, TrackedJob> jobs = new TreeMap<>();
    /** Jobs with an open attempt, by sequence number. */
    final TreeMap<Long, TrackedJob> running = new TreeMap<>();
    /** Jobs with a claim, by sequence number. */
    final TreeMap<Long, TrackedJob> claims = new TreeMap<>();
    /** Teams whose waiting jobs are to be tried inside their guarantee in the next pass. */
    final Set<String> teamsToTry = new TreeSet<>();
    /** Servers reserved for large gangs, with the time in milliseconds at which each is expected to be needed. */
    final Map<String, Long> reservedServers = new TreeMap<>();

    Configuration configuration = Configuration.EMPTY;
    /** End of the latest backoff of a server that refused a hold request, {@link Long#MAX_VALUE} for none. */
    long lastBackoffEndMilliseconds = Long.MAX_VALUE;
    /** Whether the units must be packed again in the next pass. */
    boolean restoreNeeded;
    /** Whether capacity was freed since the last pass. */
    boolean capacityFreed;
    /** Time in milliseconds of the event that is being handled. */
    long nowMilliseconds;
    /** Decisions on the event that is being handled. */
    List<PolicyDecision> decisions = new ArrayList<>();

    private long nextSequence;

    TrackedJob newJob(JobRequest request) {
        TrackedJob job = new TrackedJob(request, nextSequence++);
        jobs.put(request.job(), job);
        return job;
    }

    /** Returns the open attempt with an identifier, or null if it is unknown or has ended. */
    TrackedAttempt findOpenAttempt(AttemptIdentifier identifier) {
        TrackedJob job = jobs.get(identifier.job());
        boolean open = job != null && job.attempt != null && job.attempt.identifier.equals(identifier);
        return open ? job.attempt : null;
    }

    /** Starts an attempt of a job inside a unit, or on borrowed capacity if the unit is null. */
    void place(TrackedJob job, List<PartPlacement> placements, GuaranteeUnit unit) {
        queue.remove(job);
        job.attemptNumber++;
        AttemptIdentifier identifier = new AttemptIdentifier(job.request.job(), job.attemptNumber);
        openAttempt(job, new TrackedAttempt(job, identifier, placements, unit != null, nowMilliseconds));
        if (unit != null) {
            plan.enter(unit, job);
        } else {
            queue.addBorrowed(job.request.team(), job.size());
        }
        decisions.add(new Place(identifier, job.attempt.placements, unit != null));
    }

    /** Records the resources of an attempt as held. The caller accounts for them as guaranteed or borrowed. */
    void openAttempt(TrackedJob job, TrackedAttempt attempt) {
        job.attempt = attempt;
        cluster.hold(attempt.placements, job.shape().part());
        serversOf(attempt.placements).forEach(server -> server.attempts.add(attempt));
        queue.addAccelerators(job.request.team(), job.accelerators());
        running.put(job.sequence, job);
    }

    /** Frees the resources of the attempt of a job. */
    void closeAttempt(TrackedJob job) {
        TrackedAttempt attempt = job.attempt;
        if (job.unit != null) {
            leaveUnit(job);
        } else {
            queue.addBorrowed(job.request.team(), -job.size());
        }
        job.attempt = null;
        serversOf(attempt.placements).forEach(server -> server.attempts.remove(attempt));
        cluster.release(attempt.placements, job.shape().part());
        queue.addAccelerators(job.request.team(), -job.accelerators());
        running.remove(job.sequence);
        capacityFreed = true;
    }

    private void leaveUnit(TrackedJob job) {
        GuaranteeUnit unit = job.unit;
        plan.leave(job);
        if (unit.isEmpty() && unit.area.keySet().stream().anyMatch(this::cannotHostUnits)) {
            restoreNeeded = true;
        }
        teamUnitsChanged(unit.team);
    }

    private boolean cannotHostUnits(String server) {
        ServerState state = cluster.find(server);
        return state == null || !UnitPacker.canHostUnits(state);
    }

    /** Marks the waiting jobs of a team for another try because its units changed. */
    void teamUnitsChanged(String team) {
        teamsToTry.add(team);
        queue.classesOf(team).forEach(waitingClass -> waitingClass.unitsFull = false);
    }

    /** Moves running work from its unit to borrowed capacity without stopping it, which frees the unit. */
    void demote(TrackedJob job) {
        leaveUnit(job);
        becomeBorrowed(job);
    }

    /** Accounts for work that has left its unit as borrowed. */
    void becomeBorrowed(TrackedJob job) {
        job.attempt.guaranteed = false;
        queue.addBorrowed(job.request.team(), job.size());
    }

    /** Claims positions for a job and preempts the attempts that hold them. */
    void claim(TrackedJob job, VictimSearch.Result found, GuaranteeUnit unit, String reason) {
        queue.remove(job);
        job.claim = new Claim(found.placements(), nowMilliseconds);
        found.placements()
                .forEach(placement -> cluster.findOrAdd(placement.server())
                        .claimed
                        .add(job.shape().part(), placement.firstAccelerator()));
        if (unit != null) {
            plan.enter(unit, job);
        }
        claims.put(job.sequence, job);
        found.victims().forEach(victim -> preempt(victim, reason));
    }

    /** Releases the claim of a job without queueing the job again. */
    void dropClaim(TrackedJob job) {
        if (job.unit != null) {
            leaveUnit(job);
        }
        job.claim
                .placements()
                .forEach(placement -> cluster.findOrAdd(placement.server())
                        .claimed
                        .remove(job.shape().part(), placement.firstAccelerator()));
        job.claim = null;
        claims.remove(job.sequence);
        capacityFreed = true;
    }

    /** Preempts an attempt; has no effect if it is already stopping. */
    void preempt(TrackedAttempt attempt, String reason) {
        if (attempt.isStopping()) {
            return;
        }
        attempt.preemptedMilliseconds = nowMilliseconds;
        attempt.job.preemptions++;
        long grace = attempt.job.request.template().checkpointable() ? RECLAIM_GRACE_MILLISECONDS : 0;
        decisions.add(new Preempt(attempt.identifier, grace, reason));
    }

    /** Ends a waiting job with an error. */
    void end(TrackedJob job, ErrorKind kind, List<String> arguments) {
        removeJob(job);
        decisions.add(new EndJob(job.request.job(), kind, arguments));
    }

    /** Removes a job that has no open attempt, with its claim if it has one. */
    void removeJob(TrackedJob job) {
        jobs.remove(job.request.job());
        queue.remove(job);
        if (job.claim != null) {
            dropClaim(job);
        }
    }

    /** Starts a backoff for servers that refused a hold request, because their view of free resources differs. */
    void backOff(List<String> names) {
        long until = nowMilliseconds + FirstFitScheduler.REFUSAL_BACKOFF_MILLISECONDS;
        names.stream().map(cluster::find).filter(Objects::nonNull).forEach(server -> server.backOffUntil(until));
        lastBackoffEndMilliseconds = until;
    }

    /** Returns whether a server accepts work now, is capable of the job, and is not one on which the job failed. */
    boolean mayStart(TrackedJob job, ServerState server) {
        return !job.failedServers.contains(server.name()) && mayRun(job, server);
    }

    /** Returns whether a server accepts work now and is capable of the job, even if the job failed there. */
    boolean mayRun(TrackedJob job, ServerState server) {
        return server.isUsable(nowMilliseconds)
                && Cluster.isCapable(server, job.request.template().capabilities());
    }

    /** Returns the servers with at least one of the placements. */
    Set<ServerState> serversOf(List<PartPlacement> placements) {
        Set<ServerState> servers = new LinkedHashSet<>();
        placements.forEach(placement -> servers.add(cluster.findOrAdd(placement.server())));
        return servers;
    }
}
