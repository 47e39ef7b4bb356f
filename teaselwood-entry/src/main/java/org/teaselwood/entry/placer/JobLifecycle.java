package org.teaselwood.entry.placer;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.jobs.JobStore;
import org.teaselwood.entry.placer.Attempt.Stage;
import org.teaselwood.model.Answer;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.PartPhase;
import org.teaselwood.policy.AttemptResult;
import org.teaselwood.policy.JobRequest;
import org.teaselwood.policy.PartPlacement;
import org.teaselwood.policy.PolicyDecision;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage.MarkedAgent;
import org.teaselwood.protocol.message.TaskSpecification;

/**
 * Manages jobs from acceptance to their final state: applies the decisions of the policy, reports the end of attempts
 * to it, and saves job records. Before an attempt of a job that is not idempotent starts, a start marker is written to
 * its record, so such a job is attempted only while the key-value service is reachable. It is not attempted again once
 * it may have run, unless all its parts were stopped with a common checkpoint.
 */
final class JobLifecycle implements AttemptListener {
    private static final long EXPIRY_CHECK_MILLISECONDS = 1_000;

    private final PlacerState state;
    private final PolicyDriver policy;
    private final AttemptProtocol protocol;
    private JobStore store;
    /** Jobs that are passed to the policy only when the key-value service is reachable. */
    private final TreeSet<JobIdentifier> awaitingStore = new TreeSet<>();
    /** Attempts whose state at the agents may be discarded once a version of the job record is written. */
    private final Map<JobIdentifier, PendingCleanup> pendingCleanups = new TreeMap<>();

    /** Actions to run at the end of an attempt in place of the regular handling, by job. */
    private final Map<JobIdentifier, Runnable> endActions = new TreeMap<>();

    private final AttemptNumbers numbers;
    private long expiryCheckedAt = Long.MIN_VALUE;

    /** The servers that may discard an attempt once a version of the job record is written. Immutable. */
    private record PendingCleanup(long version, AttemptIdentifier attempt, List<String> servers) {}

    JobLifecycle(PlacerState state, PolicyDriver policy) {
        this.state = state;
        this.policy = policy;
        this.protocol = new AttemptProtocol(state, this);
        this.numbers = new AttemptNumbers(state.context());
        policy.setDecisionHandler(this::applyDecision);
    }

    void setStore(JobStore jobStore) {
        store = jobStore;
    }

    AttemptProtocol protocol() {
        return protocol;
    }

    void clear() {
        awaitingStore.clear();
        pendingCleanups.clear();
        endActions.clear();
        numbers.clear();
    }

    /** Submits a queued job to the policy, or defers it until the key-value service is reachable. */
    void schedule(Job job) {
        if (!job.repeatable() && !state.context().store().reachable()) {
            awaitingStore.add(job.identifier());
            return;
        }
        if (state.scheduled().add(job.identifier())) {
            policy.feed(new PolicyEvent.JobSubmitted(requestOf(job)));
        }
    }

    /** Submits deferred jobs when the key-value service is reachable, expires jobs, and advances attempts. */
    void tick() {
        if (!awaitingStore.isEmpty() && state.context().store().reachable()) {
            List<JobIdentifier> jobs = List.copyOf(awaitingStore);
            awaitingStore.clear();
            jobs.stream()
                    .flatMap(job -> state.table().find(job).stream())
                    .filter(job -> job.state() == JobState.QUEUED
                            && state.attemptOf(job).isEmpty())
                    .forEach(this::schedule);
        }
        if (state.now() - EXPIRY_CHECK_MILLISECONDS >= expiryCheckedAt) {
            expiryCheckedAt = state.now();
            expireJobs();
        }
        protocol.tick();
    }

    /** Cancels a job. An open attempt is stopped first. */
    void cancel(Job job) {
        if (job.state().isFinal() || job.cancelRequested()) {
            return;
        }
        job.requestCancel();
        Optional<Attempt> attempt = state.attemptOf(job);
        if (attempt.isEmpty()) {
            finish(job, JobState.CANCELLED, ErrorKind.CANCELLED, cancelText(job), Optional.empty());
            return;
        }
        if (attempt.get().stage() == Stage.RECOVERING) {
            return;
        }
        job.markStopping();
        state.jobChanged(job);
        protocol.end(attempt.get(), AttemptResult.CANCELLED, List.of(), "cancelled by the caller", 0);
    }

    /** Handles the confirmation that a version of a job record was written. */
    void recordWritten(Job job, long version) {
        state.attemptOf(job)
                .filter(attempt -> attempt.stage() == Stage.MARKING && version >= attempt.startMarkerVersion())
                .ifPresent(protocol::startMarkerWritten);
        PendingCleanup cleanup = pendingCleanups.get(job.identifier());
        if (cleanup != null && version >= cleanup.version()) {
            pendingCleanups.remove(job.identifier());
            cleanUp(cleanup.attempt(), cleanup.servers());
        }
    }

    /** Registers with the policy an attempt that an earlier placer opened. */
    void adopt(Attempt attempt, long startedMilliseconds) {
        Job job = attempt.job();
        state.scheduled().add(job.identifier());
        attempt.setPolicyIdentifier(attempt.identifier());
        policy.feed(new PolicyEvent.JobAdopted(
                requestOf(job),
                attempt.identifier(),
                attempt.placements(),
                attempt.specification().guaranteed(),
                startedMilliseconds));
    }

    /** Ends an attempt that has not started, and then runs an action in place of rescheduling the job. */
    void endThen(Attempt attempt, Runnable next) {
        endActions.put(attempt.job().identifier(), next);
        protocol.end(attempt, AttemptResult.CANCELLED, List.of(), "another placer changed the job record", 0);
    }

    /** Records the resource usage of a part and reports the usage of the attempt to the policy. */
    void recordUsage(KnownAgent agent, AgentMessage.PartUsage usage) {
        state.attempt(usage.attempt())
                .filter(attempt -> attempt.policyIdentifier() != null)
                .filter(attempt ->
                        usage.part() >= 0 && usage.part() < attempt.parts().size())
                .filter(attempt -> attempt.parts().get(usage.part()).server().equals(agent.name()))
                .ifPresent(attempt -> {
                    attempt.parts().get(usage.part()).recordUsage(usage.accelerators(), usage.memoryMebibytes());
                    double accelerators = attempt.parts().stream()
                            .mapToDouble(AttemptPart::usedAccelerators)
                            .sum();
                    long memory = attempt.parts().stream()
                            .mapToLong(AttemptPart::usedMemory)
                            .max()
                            .orElse(0);
                    policy.feed(new PolicyEvent.UsageReported(attempt.policyIdentifier(), accelerators, memory));
                });
    }

    /** Withdraws a job from the policy without finishing it. */
    void withdraw(Job job) {
        awaitingStore.remove(job.identifier());
        if (state.scheduled().remove(job.identifier())) {
            policy.feed(new PolicyEvent.JobCancelled(job.identifier()));
        }
    }

    /** Sets the final state of a job and saves its record. */
    void finish(Job job, JobState finalState, ErrorKind kind, String text, Optional<Answer> answer) {
        awaitingStore.remove(job.identifier());
        job.finish(finalState, kind, text, state.context().wallClockMilliseconds());
        answer.ifPresent(finalAnswer -> job.setAnswer(finalAnswer.length(), finalAnswer.checksum()));
        state.table().finished(job, answer);
        state.jobChanged(job);
        store.save(job, answer);
        if (state.scheduled().remove(job.identifier()) && finalState != JobState.SUCCEEDED) {
            policy.feed(new PolicyEvent.JobCancelled(job.identifier()));
        }
        observe("completion", job, job.finishedAt() - job.submittedAt());
    }

    @Override
    public void startMarkerNeeded(Attempt attempt) {
        Job job = attempt.job();
        List<MarkedAgent> agents = attempt.parts().stream()
                .map(part -> new MarkedAgent(part.index(), part.server(), part.incarnation()))
                .toList();
        job.markStarting(attempt.identifier().number(), agents);
        state.jobChanged(job);
        attempt.enterMarking(job.version());
        store.save(job, Optional.empty());
    }

    @Override
    public void started(Attempt attempt) {
        Job job = attempt.job();
        if (attempt.policyIdentifier() == null) {
            adopt(attempt, state.now());
        }
        job.markRunning(state.context().wallClockMilliseconds());
        state.jobChanged(job);
        observe("waiting", job, job.startedAt() - job.submittedAt());
        policy.feed(new PolicyEvent.AttemptStarted(attempt.policyIdentifier()));
        if (job.cancelRequested()) {
            job.markStopping();
            protocol.end(attempt, AttemptResult.CANCELLED, List.of(), "cancelled by the caller", 0);
        }
    }

    @Override
    public void checkpointed(Attempt attempt) {
        if (attempt.policyIdentifier() != null) {
            policy.feed(new PolicyEvent.AttemptCheckpointed(attempt.policyIdentifier()));
        }
    }

    @Override
    public void succeeded(Attempt attempt, Answer answer) {
        Job job = attempt.job();
        finish(job, JobState.SUCCEEDED, null, "", Optional.of(answer));
        scheduleCleanup(attempt);
        reportEndToPolicy(attempt, AttemptResult.SUCCEEDED);
    }

    @Override
    public void ended(Attempt attempt) {
        Job job = attempt.job();
        Runnable next = endActions.remove(job.identifier());
        if (next != null) {
            withdraw(job);
            reportEndToPolicy(attempt, AttemptResult.CANCELLED);
            next.run();
            return;
        }
        boolean ran = attempt.mayHaveRun();
        AttemptResult result =
                ran || attempt.result() == AttemptResult.CANCELLED || attempt.result() == AttemptResult.STOPPED
                        ? attempt.result()
                        : AttemptResult.REFUSED;
        if (ran) {
            job.markStartUncertain();
            job.setLastFailure(attempt.failure());
        }
        boolean checkpointed = job.template().checkpointable() && attempt.commonCheckpoint() > 0;
        if (checkpointed) {
            job.checkpointed(attempt.identifier() + "/" + attempt.commonCheckpoint());
        }
        boolean resumable = checkpointed && attempt.allStopped();
        if (job.cancelRequested()) {
            finish(job, JobState.CANCELLED, ErrorKind.CANCELLED, cancelText(job), Optional.empty());
        } else if (attempt.finalKind() != null) {
            finish(job, JobState.FAILED, attempt.finalKind(), attempt.failure(), Optional.empty());
        } else if (!job.repeatable() && ran && !resumable) {
            boolean failed = attempt.result() == AttemptResult.FAILED;
            ErrorKind kind = failed ? ErrorKind.TASK_FAILED : ErrorKind.MAY_HAVE_RUN;
            finish(job, job.finalStateFor(kind), kind, kind.message(attempt.failure()), Optional.empty());
        } else {
            job.markQueued();
            state.jobChanged(job);
            if (!job.repeatable() || checkpointed) {
                store.save(job, Optional.empty());
            }
        }
        attempt.reclaimedAt().ifPresent(reclaimedAt -> observe("reclaim", job, state.now() - reclaimedAt));
        scheduleCleanup(attempt);
        reportEndToPolicy(attempt, result);
        if (job.state() == JobState.QUEUED && attempt.policyIdentifier() == null) {
            schedule(job);
        }
    }

    private void observe(String metric, Job job, long milliseconds) {
        String workClass = job.submission().urgent()
                ? "urgent"
                : job.template().kind().name().toLowerCase(Locale.ROOT);
        state.context().effects().recordDuration(metric + "." + workClass, job.team(), milliseconds);
    }

    private void applyDecision(PolicyDecision decision) {
        switch (decision) {
            case PolicyDecision.Place place -> place(place);
            case PolicyDecision.Preempt preempt ->
                openAttempt(preempt.attempt()).ifPresent(attempt -> {
                    attempt.recordReclaim(state.now());
                    attempt.job().markStopping();
                    state.jobChanged(attempt.job());
                    protocol.end(
                            attempt, AttemptResult.STOPPED, List.of(), preempt.reason(), preempt.graceMilliseconds());
                });
            case PolicyDecision.Throttle throttle ->
                openAttempt(throttle.attempt())
                        .ifPresent(attempt -> attempt.parts()
                                .forEach(part -> state.sendCommand(
                                        part.server(),
                                        new AgentCommand.Throttle(state.term(), attempt.identifier(), part.index()))));
            case PolicyDecision.EndJob end -> endJob(end);
            case PolicyDecision.Quarantine quarantine ->
                state.context().effects().log("server quarantined after failures: " + quarantine.server(), "", "");
            case PolicyDecision.Probe probe -> probe(probe.server());
        }
    }

    private void place(PolicyDecision.Place place) {
        Job job = state.table().find(place.attempt().job()).orElse(null);
        if (job == null || job.state().isFinal() || state.attemptOf(job).isPresent()) {
            policy.feed(new PolicyEvent.AttemptEnded(place.attempt(), AttemptResult.CANCELLED, List.of()));
            return;
        }
        if (!job.repeatable() && !state.context().store().reachable()) {
            state.scheduled().remove(job.identifier());
            awaitingStore.add(job.identifier());
            policy.feed(new PolicyEvent.JobCancelled(job.identifier()));
            policy.feed(new PolicyEvent.AttemptEnded(place.attempt(), AttemptResult.CANCELLED, List.of()));
            return;
        }
        List<String> unusable = place.placements().stream()
                .map(PartPlacement::server)
                .distinct()
                .filter(server -> !usable(server))
                .toList();
        if (!unusable.isEmpty()) {
            unusable.forEach(server -> policy.feed(new PolicyEvent.ServerCordoned(server)));
            policy.feed(new PolicyEvent.AttemptEnded(place.attempt(), AttemptResult.REFUSED, unusable));
            return;
        }
        open(place, job);
    }

    private boolean usable(String server) {
        return state.directory().find(server).filter(KnownAgent::usable).isPresent();
    }

    private void open(PolicyDecision.Place place, Job job) {
        AttemptIdentifier identifier = numbers.next(job.identifier(), state.term());
        int servers = (int) place.placements().stream()
                .map(PartPlacement::server)
                .distinct()
                .count();
        TaskSpecification specification = TaskSpecifications.of(job, servers, place.guaranteed());
        Attempt attempt = new Attempt(identifier, job, specification, Stage.HOLDING, state.now());
        attempt.setPolicyIdentifier(place.attempt());
        IntStream.range(0, place.placements().size()).forEach(index -> {
            PartPlacement placement = place.placements().get(index);
            KnownAgent agent = state.directory().find(placement.server()).orElseThrow();
            attempt.parts()
                    .add(new AttemptPart(
                            placement.part(), agent.name(), agent.incarnation(), placement.firstAccelerator()));
        });
        state.open(attempt);
        job.countAttempt();
        state.jobChanged(job);
        protocol.advance(attempt);
    }

    private void endJob(PolicyDecision.EndJob end) {
        state.table()
                .find(end.job())
                .filter(job -> !job.state().isFinal() && state.attemptOf(job).isEmpty())
                .ifPresent(job -> {
                    state.scheduled().remove(job.identifier());
                    String text = end.kind() == ErrorKind.TASK_FAILED
                                    && !job.lastFailure().isEmpty()
                            ? end.kind().message(job.lastFailure())
                            : end.kind().message(end.arguments().toArray());
                    finish(job, job.finalStateFor(end.kind()), end.kind(), text, Optional.empty());
                });
    }

    /**
     * Reports a probe as successful if the server is usable; only the next attempt shows whether its worker recovered.
     */
    private void probe(String server) {
        boolean usable =
                state.directory().find(server).filter(KnownAgent::usable).isPresent();
        policy.feed(new PolicyEvent.ProbeEnded(server, usable));
    }

    /** Finishes the jobs that did not start before their deadline. */
    private void expireJobs() {
        long wallClockMilliseconds = state.context().wallClockMilliseconds();
        List<Job> late = state.table().unfinished().stream()
                .filter(job -> job.state() == JobState.QUEUED
                        && job.accepted()
                        && state.attemptOf(job).isEmpty())
                .filter(job -> job.submission().deadlineMilliseconds() > 0
                        && wallClockMilliseconds - job.submittedAt()
                                >= job.submission().deadlineMilliseconds())
                .toList();
        ErrorKind kind = ErrorKind.DEADLINE_EXCEEDED;
        late.forEach(job -> finish(job, job.finalStateFor(kind), kind, kind.message(), Optional.empty()));
    }

    private Optional<Attempt> openAttempt(AttemptIdentifier policyIdentifier) {
        return state.table()
                .find(policyIdentifier.job())
                .flatMap(state::attemptOf)
                .filter(attempt -> policyIdentifier.equals(attempt.policyIdentifier()));
    }

    private void reportEndToPolicy(Attempt attempt, AttemptResult result) {
        if (attempt.policyIdentifier() != null) {
            policy.feed(new PolicyEvent.AttemptEnded(attempt.policyIdentifier(), result, attempt.faultyServers()));
        }
    }

    /**
     * Makes the agents discard an attempt that ended. If the job is not idempotent or has finished, this is deferred
     * until its record is written: until then only the agents' state shows whether it ran, or holds the answer.
     */
    private void scheduleCleanup(Attempt attempt) {
        Job job = attempt.job();
        List<String> servers =
                attempt.serversOf(part -> !part.lost() && part.phase() != null && part.phase() != PartPhase.RELEASED);
        if (servers.isEmpty()) {
            return;
        }
        if (!job.isWritten() && (!job.repeatable() || job.state().isFinal())) {
            pendingCleanups.put(job.identifier(), new PendingCleanup(job.version(), attempt.identifier(), servers));
        } else {
            cleanUp(attempt.identifier(), servers);
        }
    }

    private void cleanUp(AttemptIdentifier attempt, List<String> servers) {
        servers.forEach(server -> {
            state.sendCommand(server, new AgentCommand.ForgetAttempt(state.term(), attempt));
            state.directory().find(server).ifPresent(agent -> agent.state().discardAttempt(attempt));
        });
    }

    /** Returns whether the agents must keep an attempt until the job record is written. */
    boolean cleanupPending(AttemptIdentifier attempt) {
        PendingCleanup cleanup = pendingCleanups.get(attempt.job());
        return cleanup != null && cleanup.attempt().equals(attempt);
    }

    private JobRequest requestOf(Job job) {
        long epoch = state.context().settings().epochMilliseconds();
        long submitted = job.submittedAt() - epoch;
        long deadline = job.submission().deadlineMilliseconds() > 0
                ? submitted + job.submission().deadlineMilliseconds()
                : Long.MAX_VALUE;
        return new JobRequest(
                job.identifier(),
                job.team(),
                job.template(),
                job.repeatable(),
                job.submission().urgent(),
                submitted,
                deadline);
    }

    private static String cancelText(Job job) {
        String started = job.startedAt() > 0
                ? "it had started"
                : job.mayHaveStarted() ? "it may have started" : "it had not started";
        return ErrorKind.CANCELLED.message() + "; " + started;
    }
}
