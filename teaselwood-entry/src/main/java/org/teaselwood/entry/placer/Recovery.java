package org.teaselwood.entry.placer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.jobs.JobKeys;
import org.teaselwood.entry.jobs.JobStore;
import org.teaselwood.entry.placer.Attempt.Stage;
import org.teaselwood.entry.relay.PartKey;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.PartPhase;
import org.teaselwood.model.PartReport;
import org.teaselwood.model.Template;
import org.teaselwood.model.WorkKind;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage.HeldPart;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.EntryMessage.MarkedAgent;
import org.teaselwood.protocol.message.TaskSpecification;
import org.teaselwood.store.KeyValue;

/**
 * Rebuilds the job table of a new placer from the standby's replica, the records of the key-value service and the parts
 * that agents report. An attempt of which all parts run is adopted. One that no agent has started is released, which
 * fences it against delayed start commands. If only some parts run, they are stopped. A job for which the standby's
 * replica shows an attempt is placed again only after its agents had time to report it.
 */
final class Recovery {
    private static final long RETRY_MILLISECONDS = 1_000;

    private final PlacerState state;
    private final JobLifecycle lifecycle;
    private final JobStore store;
    /** Jobs whose agents may still report an attempt, with the time at which the job is queued again. */
    private final Map<JobIdentifier, Long> awaitingAgents = new TreeMap<>();

    /** Jobs reported by agents whose records are being looked up. */
    private final Set<JobIdentifier> lookups = new TreeSet<>();
    /** Jobs reported by agents that have no record. */
    private final Set<JobIdentifier> jobsWithoutRecord = new TreeSet<>();

    private boolean recoveryRequested;
    private long retryAt = Long.MAX_VALUE;

    /** A part reported by an agent. Immutable. */
    private record ReportedPart(KnownAgent agent, HeldPart part) {
        PartPhase phase() {
            return part.report().phase();
        }
    }

    Recovery(PlacerState state, JobLifecycle lifecycle, JobStore store) {
        this.state = state;
        this.lifecycle = lifecycle;
        this.store = store;
    }

    void clear() {
        awaitingAgents.clear();
        lookups.clear();
        jobsWithoutRecord.clear();
        recoveryRequested = false;
        retryAt = Long.MAX_VALUE;
    }

    /** Adds a job from the standby's replica. */
    void addReplicated(JobRecord record) {
        Job job = Job.of(record);
        job.storeRevision(job.isPersisted() ? Job.REVISION_UNKNOWN : 0);
        state.table().add(job);
    }

    /** Applies a record read from the key-value service. */
    void applyRecord(JobRecord record, long revision) {
        Optional<Job> known = state.table().find(record.job());
        Job job = known.orElse(null);
        if (job == null || supersedes(record, job)) {
            known.ifPresent(this::discard);
            load(record, revision);
        } else if (job.storeRevision() == Job.REVISION_UNKNOWN && !store.writing(job)) {
            job.markStored(record.version(), revision);
            if (job.version() > record.version()) {
                store.save(job, state.table().answer(job.identifier()));
            }
        }
    }

    /** Replaces a job by the record that another placer wrote. */
    void replaceJob(Job job, JobRecord record, long revision) {
        discard(job);
        load(record, revision);
        reconcile();
    }

    private void load(JobRecord record, long revision) {
        Job loaded = Job.of(record);
        loaded.markStored(record.version(), revision);
        state.table().add(loaded);
        state.jobLoaded(loaded);
    }

    /** Recovers the attempts that agents report, and queues the remaining unfinished jobs. */
    void reconcile() {
        recover();
        saveFinished();
        long deadline = state.now() + state.context().timings().agentLostMilliseconds();
        state.table().unfinished().stream()
                .filter(job -> job.accepted() && state.attemptOf(job).isEmpty())
                .filter(job -> !state.scheduled().contains(job.identifier()))
                .forEach(job -> {
                    if (job.markedAttempt() > 0) {
                        open(job, new AttemptIdentifier(job.identifier(), job.markedAttempt()), List.of());
                    } else if (job.repeatable() && job.state() != JobState.QUEUED) {
                        awaitingAgents.putIfAbsent(job.identifier(), deadline);
                    } else {
                        requeue(job);
                    }
                });
    }

    /** Saves the records of finished jobs that were read from the standby's replica only. */
    private void saveFinished() {
        if (state.recordsLoaded()) {
            state.table().all().stream()
                    .filter(job -> job.state().isFinal() && job.isPersisted())
                    .filter(job -> job.storeRevision() == Job.REVISION_UNKNOWN && !store.writing(job))
                    .toList()
                    .forEach(job -> store.save(job, state.table().answer(job.identifier())));
        }
    }

    /** Requests a recovery, because an agent reported a part that may belong to no open attempt. */
    void requestRecovery() {
        recoveryRequested = true;
    }

    /** Runs a requested recovery, and queues the jobs whose agents did not report an attempt in time. */
    void tick() {
        if (recoveryRequested || state.now() >= retryAt) {
            recover();
        }
        List<JobIdentifier> overdue = awaitingAgents.entrySet().stream()
                .filter(entry -> entry.getValue() <= state.now())
                .map(Map.Entry::getKey)
                .toList();
        overdue.forEach(identifier -> {
            awaitingAgents.remove(identifier);
            state.table()
                    .find(identifier)
                    .filter(job ->
                            !job.state().isFinal() && state.attemptOf(job).isEmpty())
                    .ifPresent(this::requeue);
        });
    }

    /** Recovers the attempt of a job whose record has a start marker that this placer did not write. */
    void recoverMarked(Job job, JobRecord record) {
        job.markStarting(record.attempt(), record.marked());
        state.jobChanged(job);
        open(job, new AttemptIdentifier(job.identifier(), record.attempt()), List.of());
    }

    private void requeue(Job job) {
        job.markQueued();
        state.jobChanged(job);
        if (job.isPersisted() && job.storeRevision() == Job.REVISION_UNKNOWN) {
            store.save(job, Optional.empty());
        }
        lifecycle.schedule(job);
    }

    private boolean supersedes(JobRecord record, Job job) {
        boolean ended = record.state().isFinal() && !job.state().isFinal();
        boolean newer = record.version() > job.version() || job.hasDifferentStartMarker(record);
        return ended || untouched(job) && newer;
    }

    /** Returns whether a job has no open attempt, is not registered with the policy and has no pending write. */
    boolean untouched(Job job) {
        return state.attemptOf(job).isEmpty() && !state.scheduled().contains(job.identifier()) && !store.writing(job);
    }

    private void discard(Job job) {
        awaitingAgents.remove(job.identifier());
        lifecycle.withdraw(job);
        state.table().remove(job);
    }

    private void recover() {
        recoveryRequested = false;
        retryAt = Long.MAX_VALUE;
        reportedParts().descendingMap().forEach(this::resolve);
    }

    private TreeMap<AttemptIdentifier, List<ReportedPart>> reportedParts() {
        TreeMap<AttemptIdentifier, List<ReportedPart>> reportedParts = new TreeMap<>();
        state.directory().all().stream()
                .filter(agent -> !agent.lost())
                .forEach(agent -> agent.state().parts().forEach((key, part) -> {
                    if (state.attempt(key.attempt()).isEmpty() && !lifecycle.cleanupPending(key.attempt())) {
                        reportedParts
                                .computeIfAbsent(key.attempt(), attempt -> new ArrayList<>())
                                .add(new ReportedPart(agent, part));
                    }
                }));
        return reportedParts;
    }

    private void resolve(AttemptIdentifier identifier, List<ReportedPart> reportedParts) {
        boolean recoverable = reportedParts.stream()
                .map(ReportedPart::phase)
                .anyMatch(phase -> phase == PartPhase.SUCCEEDED || phase.holdsResources() && phase.mayHaveRun());
        boolean started = reportedParts.stream()
                .anyMatch(reportedPart -> reportedPart.phase().mayHaveRun());
        Job job = state.table().find(identifier.job()).orElse(null);
        if (job == null) {
            TaskSpecification specification = reportedParts.getFirst().part().specification();
            if (!recoverable && !confirmedAbsent(identifier.job(), specification)) {
                return;
            }
            job = recoverable || !started ? create(identifier, specification) : null;
        }
        if (job == null || job.state().isFinal() || state.attemptOf(job).isPresent()) {
            discardAttempt(identifier, reportedParts);
        } else if (recoverable || !job.repeatable() && (started || job.markedAttempt() == identifier.number())) {
            awaitingAgents.remove(job.identifier());
            withdraw(job);
            open(job, identifier, reportedParts);
        } else {
            discardAttempt(identifier, reportedParts);
        }
    }

    /**
     * Returns whether an unknown job is confirmed to have no record. Another placer may have accepted the job after the
     * records were listed. As only the agents' state shows whether it ran, that state is discarded only after a lookup.
     */
    private boolean confirmedAbsent(JobIdentifier job, TaskSpecification specification) {
        Template template = state.context().configuration().templates().get(specification.template());
        boolean neverRecorded = specification.repeatable() && template != null && template.kind() == WorkKind.REQUEST;
        if (neverRecorded || jobsWithoutRecord.contains(job)) {
            return true;
        }
        if (lookups.add(job)) {
            String key = JobKeys.record(state.context().settings().region(), job);
            state.callStore(List.of(), new StoreCall.Get(key), reply -> lookupCompleted(job, reply));
        }
        return false;
    }

    private void lookupCompleted(JobIdentifier job, StoreReply reply) {
        lookups.remove(job);
        if (!(reply instanceof StoreReply.Value value)) {
            retryAt = Math.min(retryAt, state.now() + RETRY_MILLISECONDS);
        } else if (value.value().isPresent()) {
            KeyValue found = value.value().get();
            applyRecord(JobKeys.decode(found.value(), JobRecord.class), found.revision());
            reconcile();
        } else {
            jobsWithoutRecord.add(job);
            recoveryRequested = true;
        }
    }

    /** Withdraws a queued job from the policy because an attempt of it was found. */
    private void withdraw(Job job) {
        if (state.scheduled().contains(job.identifier())) {
            lifecycle.withdraw(job);
        }
    }

    private Job create(AttemptIdentifier identifier, TaskSpecification specification) {
        Job job = TaskSpecifications.jobOf(
                identifier.job(),
                state.context().settings().region(),
                specification,
                state.context().configuration());
        if (job.template().kind() == WorkKind.REQUEST && job.repeatable()) {
            job.storeRevision(0);
        }
        state.table().add(job);
        state.jobChanged(job);
        return job;
    }

    private void discardAttempt(AttemptIdentifier identifier, List<ReportedPart> reportedParts) {
        reportedParts.forEach(reportedPart -> {
            String server = reportedPart.agent().name();
            int part = reportedPart.part().report().part();
            PartPhase phase = reportedPart.phase();
            if (!phase.holdsResources() && mustKeepAttempt(identifier)) {
                retryAt = state.now() + RETRY_MILLISECONDS;
            } else if (!phase.holdsResources()) {
                state.sendCommand(server, new AgentCommand.ForgetAttempt(state.term(), identifier));
                reportedPart.agent().state().discardAttempt(identifier);
            } else if (phase.mayHaveRun()) {
                state.sendCommand(server, new AgentCommand.Stop(state.term(), identifier, part, 0, "superseded"));
                retryAt = state.now() + RETRY_MILLISECONDS;
            } else {
                state.sendCommand(server, new AgentCommand.Release(state.term(), identifier, part));
                retryAt = state.now() + RETRY_MILLISECONDS;
            }
        });
        state.table()
                .find(identifier.job())
                .filter(job -> job.state() == JobState.QUEUED && job.accepted())
                .filter(job -> state.attemptOf(job).isEmpty() && !awaitingAgents.containsKey(job.identifier()))
                .ifPresent(lifecycle::schedule);
    }

    /**
     * Returns whether the agents must keep an attempt because the record of the job does not contain its result yet.
     * For a job that is not idempotent only a final record suffices: another placer may have written a start marker
     * that this one has not read, and an agent that discarded the attempt replies as if it had never started.
     */
    private boolean mustKeepAttempt(AttemptIdentifier identifier) {
        return state.table()
                .find(identifier.job())
                .filter(job -> job.state().isFinal() ? !job.isWritten() : !job.repeatable())
                .isPresent();
    }

    private void open(Job job, AttemptIdentifier identifier, List<ReportedPart> reportedParts) {
        Map<Integer, ReportedPart> reported = new TreeMap<>();
        reportedParts.forEach(
                reportedPart -> reported.put(reportedPart.part().report().part(), reportedPart));
        Map<Integer, MarkedAgent> marked = new TreeMap<>();
        if (job.markedAttempt() == identifier.number()) {
            job.marked().forEach(agent -> marked.put(agent.part(), agent));
        }
        TaskSpecification specification = reportedParts.stream()
                .findFirst()
                .map(reportedPart -> reportedPart.part().specification())
                .orElseGet(() -> TaskSpecifications.of(job, marked.size(), false));
        Attempt attempt = new Attempt(identifier, job, specification, Stage.RECOVERING, state.now());
        IntStream.range(0, specification.parts())
                .mapToObj(index -> part(index, identifier, reported.get(index), marked.get(index)))
                .forEach(attempt.parts()::add);
        state.open(attempt);
        if (!job.repeatable()) {
            job.markStarting(identifier.number(), List.copyOf(marked.values()));
        }
        if (reportedParts.stream().map(ReportedPart::phase).anyMatch(PartPhase::holdsResources)) {
            lifecycle.adopt(attempt, state.now());
        }
        lifecycle.protocol().advance(attempt);
    }

    private AttemptPart part(int index, AttemptIdentifier identifier, ReportedPart reported, MarkedAgent marked) {
        if (reported != null) {
            PartReport report = reported.part().report();
            KnownAgent agent = reported.agent();
            AttemptPart part = new AttemptPart(index, agent.name(), agent.incarnation(), report.firstAccelerator());
            part.applyReport(report, state.now());
            return part;
        }
        if (marked == null) {
            return new AttemptPart(index, "", "", -1);
        }
        AttemptPart part = new AttemptPart(index, marked.server(), marked.incarnation(), -1);
        boolean replaced = state.directory()
                .find(marked.server())
                .filter(agent -> !agent.incarnation().equals(marked.incarnation()))
                .filter(agent -> !agent.state().parts().containsKey(new PartKey(identifier, index)))
                .isPresent();
        if (replaced) {
            part.markLost();
        }
        return part;
    }
}
