package org.teaselwood.workload.placer;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.protocol.message.WorkMessage.OrderResult;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;
import org.teaselwood.workload.model.AdviceSettings;
import org.teaselwood.workload.model.JobSpecification;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.record.JobPhase;

/**
 * Places and supervises all jobs during one term of an elected placer. A state machine that has no clock, thread or I/O
 * of its own; confined to the placer's duty thread.
 *
 * <p>Invariants: a start order is sent only after the attempt is stored under this term, so that a placer that has been
 * replaced cannot start anything; the end of a run is acknowledged only after its effect is stored, so that no finished
 * work is repeated; a run holds its resources until it is known to have ended. A placer that kept its state only in
 * memory would repeat finished work after every crash.
 */
public final class WorkPlacer {
    private static final Logger LOGGER = LoggerFactory.getLogger(WorkPlacer.class);

    /** Delay before a task whose start order was refused is placed again. */
    private static final long REFUSAL_RETRY_DELAY_MILLISECONDS = 200;

    /** Delay before a write that was not answered is repeated. */
    private static final long WRITE_RETRY_DELAY_MILLISECONDS = 100;

    /**
     * Interval at which the numbers of waiting jobs are published, also when unchanged, so that readers can
     * tell how old they are.
     */
    private static final long PENDING_INTERVAL_MILLISECONDS = 1_000;

    /**
     * Longest interval between passes; due times and retry delays expire without an event that would trigger a pass.
     */
    private static final long MAXIMUM_PASS_INTERVAL_MILLISECONDS = 100;

    /**
     * Interval of the checks for unresponsive servers, incomplete gangs, stalled runs and jobs past their retention.
     */
    private static final long CHECK_INTERVAL_MILLISECONDS = 100;

    /**
     * Time after the first pass during which nothing is preempted: one report interval, in which the agents of all
     * backend servers connect. Until then free servers are unknown.
     */
    private static final long SETTLING_MILLISECONDS = WorkloadTimings.REPORT_INTERVAL_MILLISECONDS;

    /** Pairs of an open job and a server that a pass examines per millisecond on a small processor. */
    private static final long PAIRS_PER_MILLISECOND = 100;

    private final long term;
    private final WorkloadTimings timings;
    private final PlacerEffects effects;
    private final JobWrites writes;
    private final RunLifecycle lifecycle;
    private final EndedTaskHandler endedTasks;
    private final JobRestoration restoration;
    private final RunSupervision supervision;
    private final CrashMonitor crashes;
    private final Reconciliation reconciliation;
    private final Pacing pacing;
    private final CheckpointWrites checkpointWrites;
    private final Retention retention;
    private final AdviceRequests advice;
    private final Map<String, JobState> jobs = new LinkedHashMap<>();
    private final Map<String, ServerState> servers = new TreeMap<>();
    /** Newest server incarnation by VM; a lookup here avoids a search of all servers for most reports. */
    private final Map<String, ServerState> newestIncarnations = new HashMap<>();

    private final ActiveConfiguration configuration;
    private final RunTimes runTimes = new RunTimes();
    private final OccurrenceAdmission admission = new OccurrenceAdmission();
    private final UrgentReserve reserve = new UrgentReserve();
    private final WaitingStepLog waitingStepLog = new WaitingStepLog();
    private long pendingPublishedAt;
    private long lastPassAt;
    private long minimumPassIntervalMilliseconds;
    private long passes;
    private long lastCheckAt;

    /** Time of the first pass, in milliseconds; negative before it. */
    private long firstPassAt = -1;

    /**
     * Creates the placer of a new term.
     *
     * @param term fencing number of the election
     * @param configuration configuration in force, null until it is known
     */
    public WorkPlacer(long term, WorkloadTimings timings, WorkloadConfiguration configuration, PlacerEffects effects) {
        this.term = term;
        this.timings = timings;
        this.configuration = new ActiveConfiguration(configuration);
        this.effects = effects;
        this.writes = new JobWrites(effects);
        this.lifecycle = new RunLifecycle(term, writes, effects);
        this.endedTasks = new EndedTaskHandler(jobs, writes, lifecycle, runTimes);
        this.restoration = new JobRestoration(servers, writes);
        this.supervision = new RunSupervision(servers, lifecycle, timings);
        this.crashes = new CrashMonitor(servers, writes, lifecycle);
        this.reconciliation = new Reconciliation(jobs, lifecycle);
        this.pacing = new Pacing(lifecycle);
        this.checkpointWrites = new CheckpointWrites(jobs, writes);
        this.retention = new Retention(jobs, timings, effects);
        this.advice = new AdviceRequests(effects);
    }

    /**
     * Adds a job that was accepted now or under an earlier placer; does nothing if the job is known.
     *
     * @param record stored progress of the job, empty if there is none
     * @param now time in milliseconds, as in all methods of this class
     */
    public void jobAccepted(JobSpecification specification, long revision, Optional<StoredProgress> record, long now) {
        if (jobs.containsKey(specification.id())) {
            return;
        }
        JobState job = new JobState(specification, revision);
        jobs.put(job.id(), job);
        if (record.isEmpty()) {
            job.acceptedAt = now;
        }
        record.ifPresent(stored -> restoration.restore(job, stored, now));
        configuration.apply(job);
        lifecycle.updatePhase(job, now);
        lifecycle.markChanged();
    }

    /** Cancels a job at the request of a caller and stops its runs. */
    public void jobCancelled(String id, long now) {
        JobState job = jobs.get(id);
        if (job != null && !job.cancelRequested) {
            job.cancelRequested = true;
            if (!job.phase.isFinal()) {
                LOGGER.info("job {} cancelled by its caller", id);
                lifecycle.finish(job, JobPhase.CANCELLED, now);
            }
        }
    }

    /** Applies a newer configuration. Queues that it drops stay in force for jobs that are still open. */
    public void configurationChanged(WorkloadConfiguration newConfiguration) {
        configuration.update(newConfiguration, jobs.values());
        lifecycle.markChanged();
    }

    private Stream<JobState> openJobs() {
        return jobs.values().stream().filter(job -> !job.phase.isFinal());
    }

    /** Processes a report of an agent about its backend server. */
    public void reportReceived(AgentConnection connection, ServerReport report, long now) {
        Optional<ServerState> found = incarnationOf(report, now);
        if (found.isEmpty()) {
            return;
        }
        ServerState server = found.get();
        if (connection.sequenceNumber() < server.connectionNumber) {
            LOGGER.info("ignored a late report of backend server {} from an earlier connection", server.id);
            return;
        }
        boolean reconnected = server.connection != connection;
        boolean changed = reconnected
                || server.draining != report.draining()
                || server.responsive != report.responsive()
                || !server.reconciled;
        server.connection = connection;
        server.connectionNumber = connection.sequenceNumber();
        server.description = report.description();
        server.agentClock = report.sentMilliseconds();
        server.lastContactAt = now;
        server.responsive = report.responsive();
        if (server.draining != report.draining()) {
            LOGGER.info("backend server {} draining={}", server.id, report.draining());
            server.draining = report.draining();
        }
        server.ordersMayBeLost |= reconnected;
        reconciliation.updateAgentIncarnation(server, report, now);
        if (report.term() == term) {
            report.ended().stream()
                    .filter(ended -> ended.number() > server.lastProcessedEnd)
                    .forEach(ended -> endedTasks.handle(server, ended, now));
            reconciliation.reconcile(server, report, now);
            pacing.adjust(server, now);
            reconciliation.repeatOrders(server, now);
        } else if (reconnected) {
            reconciliation.repeatStops(server, now);
        }
        reconciliation.withdrawStartsBeyondCapacity(server, now);
        // An end that changes no job is acknowledged without a write.
        server.acknowledgeStored();
        connection.send(new WorkMessage.Contact(
                term, report.sentMilliseconds(), server.id, server.incarnation, server.lastAcknowledgedEnd));
        if (changed) {
            lifecycle.markChanged();
        }
    }

    /** Processes the answer of an agent to an order. */
    public void orderAnswered(AgentConnection connection, OrderResult result, long now) {
        ServerState server = servers.get(result.server());
        if (server == null
                || server.incarnation != result.incarnation()
                || connection.sequenceNumber() < server.connectionNumber) {
            return;
        }
        Run run = server.runs.get(Run.key(result.task(), result.attempt()));
        if (run == null) {
            return;
        }
        switch (run.startsSent > 1 ? uncertainIfRefused(result.outcome()) : result.outcome()) {
            case STARTED, SUPERSEDED -> {
                run.startAnswered = true;
                if (run.state == RunState.ORDERED) {
                    run.startedAt = now;
                    run.confirm(now, result.operation());
                }
            }
            case STOPPED -> run.confirmedOperation = result.operation();
            case NO_ROOM, UNAVAILABLE, REFUSED -> {
                LOGGER.info(
                        "start of task {} attempt {} refused by backend server {}: {}",
                        run.task.name,
                        run.attempt,
                        server.id,
                        result.outcome());
                if (run.state == RunState.ORDERED) {
                    server.countFailure(now);
                    run.task.notBefore = now + REFUSAL_RETRY_DELAY_MILLISECONDS;
                    lifecycle.removeHarmless(run, now);
                }
            }
            case NO_TICKET -> {
                LOGGER.info(
                        "ticket for task {} attempt {} refused by backend server {}",
                        run.task.name,
                        run.attempt,
                        server.id);
                run.step.advice.refused(server);
                if (run.state == RunState.ORDERED) {
                    lifecycle.removeHarmless(run, now);
                }
            }
            default -> lifecycle.stop(run, now); // UNCERTAIN
        }
    }

    /**
     * Returns UNCERTAIN for a refusal: an earlier copy of the order may have taken effect although
     * this one was refused.
     */
    private static OrderOutcome uncertainIfRefused(OrderOutcome outcome) {
        return switch (outcome) {
            case NO_ROOM, UNAVAILABLE, REFUSED, NO_TICKET -> OrderOutcome.UNCERTAIN;
            default -> outcome;
        };
    }

    /** Removes a backend server on which nothing runs any more, according to its agent. */
    public void serverLeft(AgentConnection connection, String id, long incarnation, long now) {
        ServerState server = servers.get(id);
        if (server != null
                && server.incarnation == incarnation
                && connection.sequenceNumber() >= server.connectionNumber) {
            crashes.serverGone(server, now);
            loseServer(server, "its agent reports it as gone", now);
        }
    }

    /** Records that the connection of an agent is closed. */
    public void disconnected(AgentConnection connection) {
        servers.values().stream()
                .filter(server -> server.connection == connection)
                .forEach(server -> {
                    server.connection = null;
                    LOGGER.info("connection to the agent of backend server {} closed", server.id);
                });
    }

    /**
     * Processes an answer of the advice service.
     *
     * @param tickets tickets of the permitted backend servers by identifier
     */
    public void adviceReceived(String step, Map<String, String> tickets, long now) {
        advice.answered(step, tickets, now);
        lifecycle.markChanged();
    }

    /** Drops the jobs of the last removal, which are no longer stored. */
    public void jobsRemoved() {
        retention.jobsRemoved();
    }

    /** Records that the outcome of the last removal is unknown; the removal is repeated. */
    public void jobRemovalFailed() {
        retention.failed();
    }

    /** Records that the advice service has not answered. */
    public void adviceFailed(String step, long now) {
        advice.failed(step, now);
    }

    /** Records that the last write took effect and acknowledges the ends of runs that are stored by it. */
    public void recordsWritten(long revision) {
        writes.recordsWritten(revision);
        servers.values().stream()
                .filter(ServerState::acknowledgeStored)
                .forEach(server -> server.send(
                        new WorkMessage.Contact(term, 0, server.id, server.incarnation, server.lastAcknowledgedEnd)));
    }

    /**
     * Records that the last write was rejected because a record had another revision than expected.
     *
     * @param revisions current revisions of all stored progress, by key
     */
    public void writeRejected(Map<String, Long> revisions) {
        writes.writeRejected(revisions);
    }

    /** Records that the outcome of the last write is unknown; the write is repeated. */
    public void writeFailed(long now) {
        writes.failed(now + WRITE_RETRY_DELAY_MILLISECONDS);
    }

    /**
     * Performs all work that is due; called after each batch of events and at least every tick.
     *
     * <p>A pass examines every open job and every server. After a change it runs at once if there are few of
     * them; the minimum interval between passes grows with their number, so that the placer keeps up with its
     * events on a small processor.
     */
    public void advance(long now) {
        if (now - lastCheckAt >= CHECK_INTERVAL_MILLISECONDS) {
            lastCheckAt = now;
            check(now);
        }
        configuration.current().ifPresent(current -> {
            long sincePass = now - lastPassAt;
            boolean due = sincePass >= MAXIMUM_PASS_INTERVAL_MILLISECONDS;
            if (due || sincePass >= minimumPassIntervalMilliseconds && lifecycle.takeChanged()) {
                pass(current, now);
            }
            publishPending(current, now);
        });
        writes.flush(now);
    }

    private void check(long now) {
        servers.values().stream()
                .filter(server -> now - server.lastContactAt
                        > (server.hasReported()
                                ? timings.lostAfterMilliseconds()
                                : timings.lostAfterElectionMilliseconds()))
                .toList()
                .forEach(server -> loseServer(server, "no contact with its agent", now));
        supervision.check(now);
        crashes.check(now);
        checkpointWrites.check(now);
        OccurrenceAdmission.dropUnneeded(jobs.values());
        retention.check(now);
    }

    private void pass(WorkloadConfiguration current, long now) {
        lastPassAt = now;
        firstPassAt = firstPassAt < 0 ? now : firstPassAt;
        passes++;
        lifecycle.takeChanged();
        List<JobState> open = openJobs().toList();
        admission.admit(open, current, effects.wallMilliseconds());
        minimumPassIntervalMilliseconds = Math.min(
                MAXIMUM_PASS_INTERVAL_MILLISECONDS, (long) open.size() * servers.size() / PAIRS_PER_MILLISECOND);
        new PlacementPass(
                        open,
                        servers.values(),
                        current,
                        reserve,
                        waitingStepLog,
                        new PassActions(now),
                        now - firstPassAt >= SETTLING_MILLISECONDS,
                        new PreemptionLimits(runTimes, timings.stopTimeoutMilliseconds()),
                        now,
                        effects.wallMilliseconds())
                .run();
    }

    /** Returns the number of placement passes so far. */
    long passes() {
        return passes;
    }

    private final class PassActions implements PlacementPass.Actions {
        private final long now;

        PassActions(long now) {
            this.now = now;
        }

        @Override
        public void start(JobState job, StepState step, TaskState task, ServerState server, int attempt) {
            lifecycle.start(job, step, task, server, attempt, now);
        }

        @Override
        public void requestAdvice(
                StepState step, AdviceSettings settings, Stream<ServerState> candidates, FreeCapacity freeCapacity) {
            advice.request(step, settings, candidates, freeCapacity, now);
        }

        @Override
        public void preempt(Run run, JobState beneficiary) {
            LOGGER.info("task {} attempt {} preempted by job {}", run.task.name, run.attempt, beneficiary.id());
            lifecycle.stop(run, now);
        }
    }

    /**
     * Returns the server incarnation that a report describes, empty if a newer one has replaced it. A VM runs one
     * incarnation at a time, so that all older ones are lost as soon as a newer one reports; waiting for their leases
     * to expire would delay recovery by seconds.
     */
    private Optional<ServerState> incarnationOf(ServerReport report, long now) {
        String id = report.description().server();
        String host = report.description().host();
        long incarnation = report.description().incarnation();
        ServerState newest = newestIncarnations.get(host);
        if (newest != null && newest.id.equals(id) && newest.incarnation == incarnation && servers.get(id) == newest) {
            return Optional.of(newest);
        }
        List<ServerState> incarnations = servers.values().stream()
                .filter(server -> server.id.equals(id) || server.host.equals(host))
                .toList();
        if (incarnations.stream().anyMatch(server -> server.incarnation > incarnation)) {
            return Optional.empty();
        }
        List<Run> uncertain = incarnations.stream()
                .filter(server -> server.id.equals(id) && server.incarnation < incarnation)
                .flatMap(server -> server.runs.values().stream())
                .filter(Run::mayRunOnSuccessor)
                .toList();
        incarnations.stream().filter(server -> server.incarnation < incarnation).forEach(server -> {
            crashes.serverReplaced(server, report, now);
            loseServer(server, "replaced by a newer incarnation on its VM", now);
        });
        ServerState current = servers.computeIfAbsent(id, key -> {
            LOGGER.info(
                    "backend server {} joined on {}, service {}",
                    id,
                    host,
                    report.description().service());
            return new ServerState(id, incarnation, host, now);
        });
        uncertain.forEach(run -> lifecycle.expectLateStart(run, current, now));
        newestIncarnations.put(host, current);
        return Optional.of(current);
    }

    private void loseServer(ServerState server, String reason, long now) {
        LOGGER.info("backend server {} lost with {} runs: {}", server.id, server.runs.size(), reason);
        servers.remove(server.id);
        newestIncarnations.remove(server.host, server);
        List.copyOf(server.runs.values()).forEach(run -> lifecycle.remove(run, now));
        lifecycle.markChanged();
    }

    private void publishPending(WorkloadConfiguration current, long now) {
        if (now - pendingPublishedAt < PENDING_INTERVAL_MILLISECONDS) {
            return;
        }
        pendingPublishedAt = now;
        Map<String, Integer> pending = new TreeMap<>();
        current.queues().keySet().forEach(queue -> pending.put(queue, 0));
        jobs.values().stream()
                .filter(job -> job.phase == JobPhase.QUEUED)
                .forEach(job -> pending.merge(job.specification.queue(), 1, Integer::sum));
        effects.publishPending(pending);
    }
}
