package org.teaselwood.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.TeaselwoodException;

/**
 * Schedules jobs so that the resource guarantees of all teams can be met.
 *
 * <p>Each guaranteed shape has a position in a packing ({@link GuaranteePlan}) and guaranteed work runs inside it, so
 * the packing itself proves that all guarantees can be met (invariant I1). All other work is borrowed: it is started by
 * weighted fair sharing ({@link BorrowedJobStarter}), preempted when a team reclaims its guarantee ({@link
 * GuaranteedJobStarter}), and preempted for other waiting work when that costs less than the wait ({@link
 * CostBasedPreemption}). Each event is first applied to the state; a scheduling pass follows only if the event made new
 * starts possible, so that an event which frees nothing costs no search. Confined to one thread.
 */
public final class GuaranteeScheduler implements Scheduler {
    /** Interval at which packing is retried while some units have no position. */
    private static final long RESTORE_PERIOD_MILLISECONDS = 5_000;

    private final PolicyState state = new PolicyState();
    private final AttemptEvents attempts = new AttemptEvents(state);
    private final BorrowedJobStarter borrowedJobStarter = new BorrowedJobStarter(state);
    private final GuaranteedJobStarter guaranteedJobStarter = new GuaranteedJobStarter(state, borrowedJobStarter);
    private final CostBasedPreemption costBasedPreemption = new CostBasedPreemption(state);
    private final Reservations reservations = new Reservations(state);
    private final ClaimedJobStarter claimedJobStarter = new ClaimedJobStarter(state);
    private final PeriodicChecks periodicChecks = new PeriodicChecks(state);
    private long nextRestoreMilliseconds;

    @Override
    public List<PolicyDecision> handle(PolicyEvent event, long nowMilliseconds) {
        state.nowMilliseconds = nowMilliseconds;
        state.decisions = new ArrayList<>();
        boolean passNeeded = apply(event);
        if (passNeeded) {
            runPass();
        }
        if (event instanceof PolicyEvent.Tick) {
            costBasedPreemption.run();
        }
        return state.decisions;
    }

    /**
     * Applies an event to the state and returns whether a scheduling pass must follow. After events that come in
     * bursts, such as server announcements, the pass is left to the next event.
     */
    private boolean apply(PolicyEvent event) {
        return switch (event) {
            case PolicyEvent.ConfigurationChanged changed -> configure(changed.configuration());
            case PolicyEvent.ServerJoined joined -> join(joined);
            case PolicyEvent.ServerCordoned cordoned -> markUnavailable(cordoned.server());
            case PolicyEvent.ServerLost lost -> markLost(lost.server());
            case PolicyEvent.JobSubmitted submitted -> submit(submitted.request());
            case PolicyEvent.JobAdopted adopted -> attempts.adopt(adopted);
            case PolicyEvent.JobCancelled cancelled -> cancel(cancelled.job());
            case PolicyEvent.AttemptStarted started -> attempts.start(started.attempt());
            case PolicyEvent.AttemptCheckpointed checkpointed -> attempts.checkpoint(checkpointed.attempt());
            case PolicyEvent.AttemptEnded ended -> attempts.end(ended);
            case PolicyEvent.UsageReported reported -> attempts.reportUsage(reported);
            case PolicyEvent.ProbeEnded ended -> endProbe(ended);
            case PolicyEvent.Tick ignored -> tick();
        };
    }

    private boolean configure(Configuration next) {
        state.configuration = next;
        state.cluster.configure(next);
        state.queue.configure(next);
        state.plan.configure(next);
        serversChanged();
        return true;
    }

    private boolean join(PolicyEvent.ServerJoined joined) {
        ServerState known = state.cluster.find(joined.server().name());
        if (known != null && known.isAvailable() && joined.server().equals(known.announced())) {
            return false;
        }
        state.cluster.join(joined.server());
        serversChanged();
        return false;
    }

    private boolean markUnavailable(String server) {
        state.cluster.markUnavailable(server);
        serversChanged();
        return false;
    }

    private boolean markLost(String server) {
        state.cluster.markLost(server);
        state.health.removeServer(server);
        serversChanged();
        return false;
    }

    private void serversChanged() {
        state.restoreNeeded = true;
        state.capacityFreed = true;
    }

    private boolean submit(JobRequest request) {
        if (state.jobs.containsKey(request.job())) {
            return false;
        }
        TrackedJob job = state.newJob(request);
        int limit = state.queue.limit(request.team());
        if (state.queue.size(request.team()) >= limit) {
            state.end(job, ErrorKind.QUEUE_FULL, List.of(request.team(), Integer.toString(limit)));
            return false;
        }
        state.queue.add(job, state.nowMilliseconds);
        periodicChecks.trackDeadline(job);
        state.teamsToTry.add(request.team());
        return true;
    }

    /**
     * Cancels a job and returns whether a scheduling pass must follow. Cancelling a waiting job frees no capacity, so
     * many cancellations in a row cost no search.
     */
    private boolean cancel(JobIdentifier identifier) {
        TrackedJob job = state.jobs.get(identifier);
        if (job == null) {
            return false;
        }
        job.cancelled = true;
        boolean claimed = job.claim != null;
        if (job.attempt == null) {
            state.removeJob(job);
        }
        return claimed;
    }

    private boolean endProbe(PolicyEvent.ProbeEnded ended) {
        boolean released = state.health.recordProbe(ended.server(), ended.succeeded());
        if (released) {
            serversChanged();
        }
        return released;
    }

    private boolean tick() {
        state.health.tick(state.nowMilliseconds, state.decisions);
        periodicChecks.tick();
        claimedJobStarter.dropStale();
        boolean shortfall = state.plan.units().stream().anyMatch(unit -> !unit.isPlaced());
        if (shortfall && state.nowMilliseconds >= nextRestoreMilliseconds) {
            state.restoreNeeded = true;
        }
        reservations.run();
        return true;
    }

    private void runPass() {
        if (state.restoreNeeded) {
            restorePacking();
        }
        if (state.capacityFreed) {
            state.capacityFreed = false;
            state.queue.unblock();
        }
        claimedJobStarter.run();
        guaranteedJobStarter.run();
        borrowedJobStarter.run();
    }

    private void restorePacking() {
        state.restoreNeeded = false;
        nextRestoreMilliseconds = state.nowMilliseconds + RESTORE_PERIOD_MILLISECONDS;
        claimedJobStarter.dropUnusable();
        if (state.plan.isIncomplete()) {
            state.plan.configure(state.configuration);
        }
        state.packer.restore().forEach(state::becomeBorrowed);
        state.configuration.teams().keySet().forEach(state::teamUnitsChanged);
    }

    @Override
    public List<String> explain(JobIdentifier job, long nowMilliseconds) {
        state.nowMilliseconds = nowMilliseconds;
        return new Explanation(state).of(job);
    }

    /**
     * Checks that the guarantees can be packed on empty servers. Running work does not count: it is moved or left in
     * place when the guarantees come into force.
     */
    @Override
    public void checkGuarantees(Configuration next) {
        Cluster empty = new Cluster();
        state.cluster.servers().stream()
                .filter(server -> server.announced() != null)
                .forEach(server -> empty.join(server.announced()));
        empty.configure(next);
        GuaranteePlan plan = new GuaranteePlan(empty);
        plan.configure(next);
        new UnitPacker(empty, plan).restore();
        plan.units().stream().filter(unit -> !unit.isPlaced()).findFirst().ifPresent(unit -> {
            throw TeaselwoodException.of(
                    ErrorKind.GUARANTEES_DO_NOT_FIT, "team " + unit.team + ", shape " + unit.shape);
        });
    }

    @Override
    public double fragmentation() {
        List<TrackedJob> waiting =
                state.queue.classes().stream().map(WaitingClass::head).toList();
        return Fragmentation.compute(state.cluster, waiting, state.configuration);
    }

    /** Returns the plan of units and their positions, for tests of the invariant. */
    GuaranteePlan plan() {
        return state.plan;
    }

    /** Returns the cluster, for tests of the invariant. */
    Cluster cluster() {
        return state.cluster;
    }

    /** Returns the jobs that have not ended, for tests. */
    Map<JobIdentifier, TrackedJob> jobs() {
        return state.jobs;
    }
}
