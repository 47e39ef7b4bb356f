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
     * Delay before an urgent step preempts runs that would lose much work; capacity may become free without
     * preemption in the meantime. The objective of urgent jobs allows a delay of half their run time, which for most
     * jobs is longer than this.
     */
    private static final long PATIENCE_MILLISECONDS = 600;

    /**
     * Longest time that a step of another priority is kept out of the urgent reserve, a fraction of the slack
     * in its own objective.
     */
    private static final long RESERVE_PATIENCE_MILLISECONDS = 5_000;

    /** Lost work, as a share of the urgent step's own work, up to which runs are preempted without delay. */
    private static final double SMALL_LOSS = 0.1;

    /** Lost work, as a share of the step's own work, that a job outside its team's guarantee may cause at most. */
    private static final double LARGEST_LOSS = 1.0;

    /** Weight of work lost by urgent runs: a preempted urgent job is late and preempts others in turn. */
    private static final double URGENT_LOSS_FACTOR = 4.0;

    private final Collection<JobState> openJobs;
    private final Collection<ServerState> servers;
    private final WorkloadConfiguration configuration;
    private final Entitlements entitlements;
    private final Actions actions;
    private final long stopMilliseconds;
    private final long now;
    private final long wall;
    private final Room room;
    private final UrgentReserve reserve;

    /** Receiver of the decisions of a pass. */
    interface Actions {
        /** Starts a task. */
        void start(JobState job, StepState step, TaskState task, ServerState server, int attempt);

        /** Stops a run to free its resources for another job. */
        void preempt(Run run, JobState beneficiary);

        /** Asks the advice service which of the servers may run the step. */
        void ask(StepState step, AdviceSettings settings, Stream<ServerState> servers, Room room);
    }

    PlacementPass(
            Collection<JobState> openJobs,
            Collection<ServerState> servers,
            WorkloadConfiguration configuration,
            UrgentReserve reserve,
            Actions actions,
            long stopMilliseconds,
            long now,
            long wall) {
        this.openJobs = openJobs;
        this.servers = servers;
        this.configuration = configuration;
        this.entitlements = new Entitlements(openJobs, configuration);
        this.actions = actions;
        this.stopMilliseconds = stopMilliseconds;
        this.now = now;
        this.wall = wall;
        this.room = new Room(servers, now);
        this.reserve = reserve;
    }

    private record Candidate(JobState job, QueueSettings queue, boolean entitled) {}

    void run() {
        reserve.observe(entitlements.urgentAccelerators(), now);
        List<Candidate> candidates = candidates();
        candidates.stream().flatMap(candidate -> candidate.job().steps.stream()).forEach(step -> {
            if (!step.freed.isKept(now)) {
                step.freed = FreedRoom.NONE;
            }
            step.freed.reserve(room, servers);
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
        candidate.job().steps.stream()
                .filter(step -> !step.done() && candidate.job().ready(step, wall))
                .forEach(step -> placeStep(candidate, step));
    }

    private void placeStep(Candidate candidate, StepState step) {
        step.freed.release(room, servers);
        if (step.tasks.stream().noneMatch(TaskState::waits)) {
            step.readySince = 0;
            step.freed = FreedRoom.NONE;
            return;
        }
        if (step.readySince == 0) {
            step.readySince = now;
        }
        step.advice.required = candidate.queue().advice().isPresent();
        boolean placed = step.gang() ? placeGang(candidate, step) : placeEach(candidate, step);
        if (placed) {
            step.freed = FreedRoom.NONE;
        } else {
            candidate.queue().advice().ifPresent(settings -> askAdvice(candidate, step, settings));
            if (candidate.queue().priority() == 0) {
                makeRoom(candidate, step);
            }
        }
        room.nextStep();
    }

    private void askAdvice(Candidate candidate, StepState step, AdviceSettings settings) {
        actions.ask(step, settings, room.unadvised(candidate.queue().service(), step), room);
    }

    /**
     * Returns whether the step has to leave the urgent reserve free: it would lose its progress if preempted, and it
     * has not waited long yet.
     */
    private boolean mustLeaveReserve(Candidate candidate, StepState step) {
        if (candidate.queue().priority() == 0
                || step.specification.checkpointing()
                || now - step.readySince > RESERVE_PATIENCE_MILLISECONDS) {
            return false;
        }
        long waiting = step.gang() ? step.tasks.size() : 1;
        return room.freeAccelerators()
                        - waiting * step.specification.resources().accelerators()
                < reserve.accelerators();
    }

    private boolean placeGang(Candidate candidate, StepState step) {
        boolean allFree = step.tasks.stream().allMatch(task -> task.waits() && task.notBefore <= now);
        if (!allFree || mustLeaveReserve(candidate, step)) {
            return false;
        }
        Optional<Map<TaskState, ServerState>> placement =
                ServerChoice.forGang(room, candidate.queue().service(), step, now);
        placement.ifPresent(servers -> {
            int attempt = step.nextAttempt(step.tasks.getFirst());
            servers.forEach((task, server) -> start(candidate.job(), step, task, server, attempt));
        });
        return placement.isPresent();
    }

    private boolean placeEach(Candidate candidate, StepState step) {
        List<TaskState> waiting = step.tasks.stream()
                .filter(task -> task.waits() && task.notBefore <= now)
                .toList();
        boolean all = true;
        for (TaskState task : waiting) {
            Optional<ServerState> server = mustLeaveReserve(candidate, step)
                    ? Optional.empty()
                    : ServerChoice.forTask(room, candidate.queue().service(), step, task, now);
            if (server.isEmpty()) {
                all = false;
                break;
            }
            start(candidate.job(), step, task, server.get(), step.nextAttempt(task));
            room.countForStep(server.get());
        }
        return all;
    }

    private void start(JobState job, StepState step, TaskState task, ServerState server, int attempt) {
        room.take(server, step.specification.reserved());
        actions.start(job, step, task, server, attempt);
    }

    private void makeRoom(Candidate candidate, StepState step) {
        if (step.gang() && !step.tasks.stream().allMatch(TaskState::waits)) {
            return;
        }
        if (step.freed == FreedRoom.NONE) {
            findPlan(candidate, step)
                    .filter(plan -> isWorthIt(candidate, step, plan))
                    .ifPresent(plan -> {
                        plan.victims().forEach(run -> actions.preempt(run, candidate.job()));
                        step.freed = FreedRoom.of(plan, stopMilliseconds, now);
                    });
        }
        step.freed.reserve(room, servers);
    }

    private boolean isWorthIt(Candidate candidate, StepState step, Preemption.Plan plan) {
        double loss = plan.loss() / Math.max(1, step.estimatedWork());
        return loss <= SMALL_LOSS
                || now - step.readySince >= PATIENCE_MILLISECONDS && (candidate.entitled() || loss <= LARGEST_LOSS);
    }

    private double lossOf(Run run) {
        return run.lossIfStopped(now) * (entitlements.isUrgent(run.job) ? URGENT_LOSS_FACTOR : 1);
    }

    private Optional<Preemption.Plan> findPlan(Candidate candidate, StepState step) {
        String service = candidate.queue().service();
        Preemption.StopRules rules =
                new Preemption.StopRules(run -> entitlements.mayStop(run, candidate.entitled()), this::lossOf);
        List<ServerState> all = room.eligible(service, step).toList();
        Collection<List<ServerState>> groups = List.of(all);
        if (step.specification.sameRack()) {
            List<List<ServerState>> holding = room.racks(service, step).values().stream()
                    .filter(rack -> ServerChoice.couldHold(rack, step))
                    .toList();
            groups = holding.isEmpty() ? groups : holding;
        }
        return Preemption.cheapest(room, groups, step, rules, now)
                .or(() -> candidate.entitled()
                        ? Preemption.cheapest(room, List.of(all), step, rules, now)
                        : Optional.empty());
    }
}
