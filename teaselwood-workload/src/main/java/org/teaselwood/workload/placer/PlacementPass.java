package org.teaselwood.workload.placer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.teaselwood.workload.model.AdviceSettings;
import org.teaselwood.workload.model.QueueSettings;
import org.teaselwood.workload.model.WorkloadConfiguration;

/**
 * One placement pass over the open jobs. Used once, on the placer's duty thread.
 *
 * <p>Jobs are placed in order of priority, then jobs within a guarantee before others, then by age. A step of priority
 * 0 that does not fit preempts other runs and reserves the freed capacity for a limited time; without the reservation,
 * smaller jobs would take each part of it as soon as it is freed.
 */
final class PlacementPass {
    /**
     * Longest time for which a step of lower priority is kept out of the urgent reserve of a busy service; a fraction
     * of the slack in its own objective.
     */
    private static final long MAXIMUM_RESERVE_EXCLUSION_MILLISECONDS = 5_000;

    /**
     * Longest time for which a step is kept out of the urgent reserve while most of its service is free, and for which
     * a long-running step is kept out at any time.
     */
    private static final long SHORT_RESERVE_EXCLUSION_MILLISECONDS = 1_500;

    /** Weight of work lost by urgent runs: a preempted urgent job is late and preempts others in turn. */
    private static final double URGENT_LOSS_WEIGHT = 4.0;

    private final Collection<JobState> openJobs;
    private final Collection<ServerState> servers;
    private final WorkloadConfiguration configuration;
    private final Entitlements entitlements;
    private final Actions actions;
    private final PreemptionLimits preemptionLimits;
    private final long now;
    private final long wallMilliseconds;
    private final FreeCapacity freeCapacity;
    private final UrgentReserve reserve;
    private final WaitingStepLog waitingStepLog;
    private final boolean mayPreempt;

    /** Receiver of the decisions of a pass. */
    interface Actions {
        /** Starts a task. */
        void start(JobState job, StepState step, TaskState task, ServerState server, int attempt);

        /** Stops a run to free its resources for another job. */
        void preempt(Run run, JobState beneficiary);

        /** Asks the advice service which of the servers may run the step. */
        void requestAdvice(
                StepState step, AdviceSettings settings, Stream<ServerState> servers, FreeCapacity freeCapacity);
    }

    PlacementPass(
            Collection<JobState> openJobs,
            Collection<ServerState> servers,
            WorkloadConfiguration configuration,
            UrgentReserve reserve,
            WaitingStepLog waitingStepLog,
            Actions actions,
            boolean mayPreempt,
            PreemptionLimits preemptionLimits,
            long now,
            long wallMilliseconds) {
        this.openJobs = openJobs;
        this.servers = servers;
        this.configuration = configuration;
        this.entitlements = new Entitlements(openJobs, configuration);
        this.actions = actions;
        this.mayPreempt = mayPreempt;
        this.preemptionLimits = preemptionLimits;
        this.now = now;
        this.wallMilliseconds = wallMilliseconds;
        this.freeCapacity = new FreeCapacity(servers, now);
        this.reserve = reserve;
        this.waitingStepLog = waitingStepLog;
    }

    private record Candidate(JobState job, QueueSettings queue, boolean entitled) {}

    void run() {
        reserve.observe(entitlements.urgentAcceleratorsInUse(), entitlements.urgentAccelerators(), now);
        openJobs.stream()
                .filter(job -> configuration.queue(job.specification.queue()).isEmpty())
                .forEach(job -> waitingStepLog.queueMissing(job, now));
        List<Candidate> candidates = candidates();
        candidates.stream().flatMap(candidate -> candidate.job().steps()).forEach(step -> {
            if (!step.reservation.isActive(now)) {
                step.reservation = CapacityReservation.NONE;
            }
            step.reservation.reserve(freeCapacity, servers);
        });
        candidates.forEach(this::placeJob);
    }

    private List<Candidate> candidates() {
        return openJobs.stream()
                .flatMap(job -> configuration
                        .queue(job.specification.queue())
                        .map(queue -> new Candidate(job, queue, entitlements.isEntitled(job)))
                        .stream())
                .sorted(Comparator.comparingInt(
                                (Candidate candidate) -> candidate.queue().priority())
                        .thenComparingInt(candidate -> candidate.entitled() ? 0 : 1)
                        .thenComparingLong(candidate -> candidate.job().acceptedRevision))
                .toList();
    }

    private void placeJob(Candidate candidate) {
        candidate
                .job()
                .steps()
                .filter(step -> !step.done() && candidate.job().isReady(step, wallMilliseconds))
                .forEach(step -> placeStep(candidate, step));
    }

    private void placeStep(Candidate candidate, StepState step) {
        step.reservation.release(freeCapacity, servers);
        if (step.tasks.stream().noneMatch(TaskState::isWaiting)) {
            step.readySince = 0;
            step.reservation = CapacityReservation.NONE;
            return;
        }
        if (step.readySince == 0) {
            step.readySince = now;
        }
        step.advice.required = candidate.queue().advice().isPresent();
        boolean placed = step.gang() ? placeGang(candidate, step) : placeTasks(candidate, step);
        if (placed) {
            step.reservation = CapacityReservation.NONE;
        } else {
            waitingStepLog.stepWaits(
                    step,
                    candidate.queue().service(),
                    freeCapacity,
                    () -> isExcludedFromReserve(candidate, step) ? reserve.accelerators() : 0,
                    now);
            candidate.queue().advice().ifPresent(settings -> requestAdvice(candidate, step, settings));
            if (mayPreempt && candidate.queue().priority() == 0) {
                preemptRuns(candidate, step);
            }
        }
    }

    private void requestAdvice(Candidate candidate, StepState step, AdviceSettings settings) {
        actions.requestAdvice(
                step, settings, freeCapacity.unadvised(candidate.queue().service(), step), freeCapacity);
    }

    /**
     * Returns whether the step has to leave the urgent reserve free: it would lose its progress if preempted, and it
     * has not waited long yet.
     */
    private boolean isExcludedFromReserve(Candidate candidate, StepState step) {
        long waited = now - step.readySince;
        int perTask = step.specification.resources().accelerators();
        if (candidate.queue().priority() == 0
                || reserve.accelerators() == 0
                || perTask == 0
                || step.specification.checkpointing()
                || waited > MAXIMUM_RESERVE_EXCLUSION_MILLISECONDS) {
            return false;
        }
        long waiting = step.gang() ? step.tasks.size() : 1;
        return freeCapacity.freeAccelerators() - waiting * perTask < reserve.accelerators()
                && (waited <= SHORT_RESERVE_EXCLUSION_MILLISECONDS || !mustStartSoon(candidate, step));
    }

    private boolean placeGang(Candidate candidate, StepState step) {
        boolean allPlaceable = step.tasks.stream().allMatch(task -> task.isWaiting() && task.notBefore <= now);
        if (!allPlaceable || isExcludedFromReserve(candidate, step)) {
            return false;
        }
        Optional<Map<TaskState, ServerState>> placement =
                ServerChoice.forGang(freeCapacity, candidate.queue().service(), step, maySpread(candidate, step), now);
        placement.ifPresent(servers -> {
            int attempt = step.nextAttempt(step.tasks.getFirst());
            servers.forEach((task, server) -> start(candidate.job(), step, task, server, attempt));
        });
        return placement.isPresent();
    }

    private boolean maySpread(Candidate candidate, StepState step) {
        return step.specification.sameRack()
                && RackWait.isOver(
                        now - step.readySince,
                        preemptionLimits.expectedMilliseconds(step, candidate.queue()),
                        candidate.entitled() || mustStartSoon(candidate, step));
    }

    /** Returns whether the step must not wait long for a better placement if it could start. */
    private boolean mustStartSoon(Candidate candidate, StepState step) {
        return step.specification.longRunning()
                || freeCapacity.isMostlyFree(candidate.queue().service());
    }

    private boolean placeTasks(Candidate candidate, StepState step) {
        List<TaskState> waiting = step.tasks.stream()
                .filter(task -> task.isWaiting() && task.notBefore <= now)
                .toList();
        boolean allPlaced = true;
        for (TaskState task : CrashHold.startable(step, waiting)) {
            Optional<ServerState> server = isExcludedFromReserve(candidate, step)
                    ? Optional.empty()
                    : ServerChoice.forTask(freeCapacity, candidate.queue().service(), step, task, now);
            if (server.isEmpty()) {
                allPlaced = false;
                break;
            }
            start(candidate.job(), step, task, server.get(), step.nextAttempt(task));
        }
        return allPlaced;
    }

    private void start(JobState job, StepState step, TaskState task, ServerState server, int attempt) {
        freeCapacity.allocate(server, step.specification.reserved());
        step.lastStartAt = now;
        actions.start(job, step, task, server, attempt);
        if (task.run.needsIsolation()) {
            freeCapacity.isolate(server);
        }
    }

    private void preemptRuns(Candidate candidate, StepState step) {
        if (step.gang() && !step.tasks.stream().allMatch(TaskState::isWaiting)) {
            return;
        }
        if (step.reservation == CapacityReservation.NONE) {
            findPreemptionPlan(candidate, step)
                    .filter(plan -> preemptionLimits.allows(
                            step, candidate.queue(), plan.loss(), now - step.readySince, candidate.entitled()))
                    .ifPresent(plan -> {
                        plan.victims().forEach(run -> actions.preempt(run, candidate.job()));
                        step.reservation = CapacityReservation.of(plan, preemptionLimits.stopMilliseconds(), now);
                    });
        }
        step.reservation.reserve(freeCapacity, servers);
    }

    private double lossOf(Run run) {
        return run.lossIfStopped(now) * (entitlements.isUrgent(run.job) ? URGENT_LOSS_WEIGHT : 1);
    }

    private Optional<Preemption.Plan> findPreemptionPlan(Candidate candidate, StepState step) {
        String service = candidate.queue().service();
        Preemption.VictimRules rules =
                new Preemption.VictimRules(run -> entitlements.mayStop(run, candidate.entitled()), this::lossOf);
        List<ServerState> eligible = freeCapacity.eligible(service, step).toList();
        Quarantine quarantine = new Quarantine(eligible, step, now);
        Collection<List<ServerState>> groups = List.of(eligible);
        if (step.specification.sameRack()) {
            List<List<ServerState>> largeEnough = freeCapacity.racks(service, step).values().stream()
                    .filter(rack -> ServerChoice.fitsWhenEmpty(rack, step))
                    .toList();
            groups = largeEnough.isEmpty() ? groups : largeEnough;
        }
        return Preemption.cheapest(freeCapacity, groups, step, rules, quarantine)
                .or(() -> candidate.entitled()
                        ? Preemption.cheapest(freeCapacity, List.of(eligible), step, rules, quarantine)
                        : Optional.empty());
    }
}
