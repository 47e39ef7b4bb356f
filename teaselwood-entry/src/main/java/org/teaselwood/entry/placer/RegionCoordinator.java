package org.teaselwood.entry.placer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.jobs.JobKeys;
import org.teaselwood.entry.jobs.JobStore;
import org.teaselwood.entry.jobs.TransactionBatcher;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.entry.relay.PartKey;
import org.teaselwood.model.Answer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.policy.Scheduler;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.store.KeyValue;

/**
 * Dispatches agent messages, job records and requests to the components of the placer, and runs their periodic work.
 */
final class RegionCoordinator implements JobStore.Listener {
    private static final long POLICY_TICK_MILLISECONDS = 500;

    private final PlacerState state;
    private final Membership membership;
    private final PolicyDriver policy;
    private final TransactionBatcher batcher;
    private final JobLifecycle lifecycle;
    private final JobStore store;
    private final Recovery recovery;
    private final Submissions submissions;
    private final JobQueries queries;
    /** Records that were read from the key-value service and not applied yet. */
    private final List<KeyValue> pendingRecords = new ArrayList<>();

    private long policyTickAt = Long.MIN_VALUE;

    RegionCoordinator(
            PlacerState state, Membership membership, Supplier<Scheduler> schedulers, TransactionBatcher batcher) {
        this.state = state;
        this.membership = membership;
        this.batcher = batcher;
        this.policy = new PolicyDriver(state.context(), schedulers);
        this.lifecycle = new JobLifecycle(state, policy);
        this.store = new JobStore(state.context(), batcher, this);
        this.recovery = new Recovery(state, lifecycle, store);
        this.submissions = new Submissions(state, lifecycle, recovery, store);
        this.queries = new JobQueries(state, lifecycle, policy);
        lifecycle.setStore(store);
    }

    JobStore store() {
        return store;
    }

    /** Returns the scheduler that implements the policy. */
    Scheduler scheduler() {
        return policy.scheduler();
    }

    /** Starts placing from the standby's replica of the job table, the pending records and the known agents. */
    void begin(List<JobRecord> replica, Map<JobIdentifier, Answer> answers) {
        store.begin(state.term());
        lifecycle.clear();
        recovery.clear();
        policy.feed(new PolicyEvent.ConfigurationChanged(state.context().configuration()));
        replica.forEach(recovery::addReplicated);
        replica.forEach(record -> Optional.ofNullable(answers.get(record.job()))
                .ifPresent(answer -> state.table()
                        .find(record.job())
                        .ifPresent(job -> state.table().cacheAnswer(job, answer))));
        applyRecords();
        state.directory().all().forEach(this::updateAvailability);
        recovery.reconcile();
    }

    /** Stops placing and refuses pending requests, so that the callers retry with the next placer. */
    void end() {
        policy.restart();
        store.end();
        submissions.end();
        queries.end();
        lifecycle.clear();
        recovery.clear();
        pendingRecords.clear();
    }

    /** Returns the records of all accepted jobs. */
    List<JobRecord> records() {
        String writer = state.context().settings().incarnation();
        return state.table().all().stream()
                .filter(Job::accepted)
                .flatMap(job -> job.standbyRecord(state.term(), writer).stream())
                .toList();
    }

    void request(Requester requester, FrontRequest request) {
        switch (request) {
            case FrontRequest.SubmitJob submit -> submissions.submit(requester, submit);
            case FrontRequest.QueryJob query -> queries.query(requester, query);
            case FrontRequest.WaitForJob wait -> queries.waitFor(requester, wait);
            case FrontRequest.FetchAnswer fetch -> queries.answer(requester, fetch);
            case FrontRequest.CancelJob cancel -> queries.cancel(requester, cancel);
            case FrontRequest.ExplainJob explain -> queries.explain(requester, explain);
            case FrontRequest.QueryRegion ignored ->
                state.reply(
                        requester, new FrontReply.RegionReply(RegionViews.of(state, membership, policy.scheduler())));
            case FrontRequest.QueryConfiguration ignored -> refuseMisdirected(requester);
            case FrontRequest.ChangeConfiguration ignored -> refuseMisdirected(requester);
        }
    }

    void abandon(Requester requester) {
        state.waiters().remove(requester);
        submissions.abandon(requester);
    }

    void fromAgent(String relay, EntryMessage.FromAgent message, boolean active) {
        if (message.message() instanceof AgentMessage.AgentHello hello) {
            helloReceived(relay, hello, false, active);
            return;
        }
        state.directory().sender(relay, message.server(), message.incarnation()).ifPresent(agent -> {
            agent.recordContact();
            agent.state().apply(message.message());
            if (active) {
                handleAgentMessage(agent, message.message());
            }
        });
    }

    void snapshot(String relay, EntryMessage.FromAgent snapshot, boolean active) {
        if (snapshot.message() instanceof AgentMessage.AgentHello hello) {
            helloReceived(relay, hello, true, active);
        }
    }

    /** Records unresponsive agents. Returns whether one was responsive until now and may be connected elsewhere. */
    boolean agentsUnresponsive(String relay, EntryMessage.UnresponsiveAgents message) {
        return message.agents().stream()
                        .filter(unresponsive -> state.directory()
                                .find(unresponsive.server())
                                .filter(agent -> agent.relay().equals(relay))
                                .filter(agent -> unresponsive.incarnation().isEmpty()
                                        || agent.incarnation().equals(unresponsive.incarnation()))
                                .filter(agent ->
                                        agent.markUnresponsive(state.now() - unresponsive.millisecondsSinceContact()))
                                .isPresent())
                        .toList()
                        .size()
                > 0;
    }

    /** Marks the agents of lost relays as unresponsive. */
    void relaysLost(Predicate<String> alive) {
        state.directory().all().stream()
                .filter(agent -> !agent.unresponsive() && !alive.test(agent.relay()))
                .forEach(agent -> agent.markUnresponsive(
                        state.now() - state.context().timings().suspicionMilliseconds()));
    }

    void configurationChanged(boolean active) {
        if (active) {
            policy.feed(new PolicyEvent.ConfigurationChanged(state.context().configuration()));
            state.directory().all().forEach(this::updateAvailability);
        }
    }

    void tick() {
        state.directory().all().forEach(this::checkContact);
        recovery.tick();
        lifecycle.tick();
        submissions.tick();
        queries.tick();
        store.tick();
        if (state.now() - POLICY_TICK_MILLISECONDS >= policyTickAt) {
            policyTickAt = state.now();
            policy.feed(new PolicyEvent.Tick());
        }
    }

    void sendDueWrites() {
        batcher.sendDue();
    }

    /** Removes finished jobs whose retention has ended, and drops answers beyond the memory limit. */
    void evictExpired() {
        state.table()
                .evictExpired(
                        state.context().wallClockMilliseconds(),
                        state.context().timings().retentionMilliseconds(),
                        state.context().timings().answerMemoryBytes(),
                        job -> {
                            store.delete(job);
                            state.replicator().removed(job);
                        });
    }

    void setPendingRecords(List<KeyValue> values) {
        pendingRecords.clear();
        pendingRecords.addAll(values);
    }

    /** Applies records that were read after this placer became active. */
    void loadRecords() {
        applyRecords();
        recovery.reconcile();
    }

    @Override
    public void recordWritten(Job job, long version) {
        submissions.recordWritten(job);
        lifecycle.recordWritten(job, version);
        state.replicator().changed(job);
    }

    @Override
    public void writeConflicted(Job job, Optional<KeyValue> current) {
        if (!job.accepted()) {
            submissions.keyClaimed(job);
            return;
        }
        if (current.isEmpty()) {
            job.storeRevision(0);
            store.save(job, state.table().answer(job.identifier()));
            return;
        }
        JobRecord record = JobKeys.decode(current.get().value(), JobRecord.class);
        state.context().observeTerm(record.term());
        if (record.term().compareTo(state.term()) > 0) {
            return;
        }
        if (job.state().isFinal() && record.state().isFinal()) {
            lifecycle.recordWritten(job, job.version());
            return;
        }
        long revision = current.get().revision();
        job.storeRevision(revision);
        if (record.state().isFinal()) {
            replaceAfterEnd(job, () -> recovery.applyRecord(record, revision));
        } else if (job.hasDifferentStartMarker(record)) {
            replaceAfterEnd(job, () -> recovery.recoverMarked(job, record));
        } else if (ranElsewhere(job, record)) {
            replaceAfterEnd(job, () -> recovery.replaceJob(job, record, revision));
        } else {
            store.save(job, state.table().answer(job.identifier()));
        }
    }

    /**
     * Returns whether another placer ran a job that is not idempotent and stopped it with a checkpoint unknown here.
     */
    private boolean ranElsewhere(Job job, JobRecord record) {
        return !job.repeatable()
                && !job.state().isFinal()
                && !record.writer().equals(state.context().settings().incarnation())
                && !record.resumeFrom().equals(job.resumeFrom());
    }

    @Override
    public void writeUnanswered(Job job) {
        submissions.writeDelayed(job);
    }

    /** Applies the record of another placer, after this placer's open attempt has ended. */
    private void replaceAfterEnd(Job job, Runnable replacement) {
        Optional<Attempt> open = state.attemptOf(job);
        if (open.isPresent()) {
            lifecycle.endThen(open.get(), replacement);
        } else {
            lifecycle.withdraw(job);
            replacement.run();
        }
    }

    private void applyRecords() {
        List<KeyValue> values = List.copyOf(pendingRecords);
        pendingRecords.clear();
        values.forEach(value -> {
            try {
                applyRecord(value, JobKeys.decode(value.value(), JobRecord.class));
            } catch (TeaselwoodException exception) {
                state.context()
                        .effects()
                        .log("skipping job record " + value.key() + ": " + exception.getMessage(), "", "");
            }
        });
    }

    /** Applies a record. An unknown start marker is handled as the conflict that a write of the record would cause. */
    private void applyRecord(KeyValue value, JobRecord record) {
        Optional<Job> marked = state.table()
                .find(record.job())
                .filter(job -> job.hasDifferentStartMarker(record) && !recovery.untouched(job));
        marked.ifPresentOrElse(
                job -> writeConflicted(job, Optional.of(value)), () -> recovery.applyRecord(record, value.revision()));
    }

    private void helloReceived(String relay, AgentMessage.AgentHello hello, boolean snapshot, boolean active) {
        state.context().observeTerm(hello.term());
        Optional<KnownAgent> known = state.directory().helloReceived(relay, hello, snapshot);
        if (known.isEmpty() || !active) {
            return;
        }
        KnownAgent agent = known.get();
        Set<PartKey> listed = new HashSet<>(agent.state().parts().keySet());
        updateAvailability(agent);
        hello.parts()
                .forEach(part ->
                        lifecycle.protocol().report(agent, new AgentMessage.PartReply("", part.report(), "", "")));
        lifecycle.protocol().reconcileParts(agent, listed);
        recovery.requestRecovery();
    }

    private void handleAgentMessage(KnownAgent agent, AgentMessage message) {
        switch (message) {
            case AgentMessage.PartChanged changed ->
                handlePartReport(agent, new AgentMessage.PartReply("", changed.report(), "", ""));
            case AgentMessage.PartReply reply -> handlePartReport(agent, reply);
            case AgentMessage.AnswerPart answer -> lifecycle.protocol().answerReceived(agent, answer);
            case AgentMessage.PartUsage usage -> lifecycle.recordUsage(agent, usage);
            case AgentMessage.AgentLeaving ignored -> updateAvailability(agent);
            case AgentMessage.AgentHello ignored -> {}
            case AgentMessage.AgentHeartbeat ignored -> {}
            case AgentMessage.StaleTerm ignored -> {}
        }
    }

    private void handlePartReport(KnownAgent agent, AgentMessage.PartReply reply) {
        if (state.attempt(reply.report().attempt()).isPresent()) {
            lifecycle.protocol().report(agent, reply);
        } else if (agent.state()
                .parts()
                .containsKey(
                        new PartKey(reply.report().attempt(), reply.report().part()))) {
            recovery.requestRecovery();
        }
    }

    /** Reports to the policy whether a backend server is usable, and sends the current term to its agent. */
    private void updateAvailability(KnownAgent agent) {
        boolean usable = !agent.lost()
                && !agent.unresponsive()
                && !agent.state().leaving()
                && state.context().configuration().stateOf(agent.name()) == ServiceState.IN_SERVICE;
        state.sendCommand(agent.name(), new AgentCommand.RenewGang(state.term(), List.of()));
        agent.setUsable(usable);
        PolicyEvent joined = new PolicyEvent.ServerJoined(agent.server());
        if (usable) {
            policy.feed(joined);
        } else if (!agent.lost()) {
            policy.feed(joined, new PolicyEvent.ServerCordoned(agent.name()));
        }
    }

    private void checkContact(KnownAgent agent) {
        long unresponsiveMilliseconds = agent.unresponsiveMilliseconds(state.now());
        if (unresponsiveMilliseconds >= state.context().timings().agentLostMilliseconds() && !agent.lost()) {
            agent.markLost();
            policy.feed(new PolicyEvent.ServerLost(agent.name()));
            lifecycle.protocol().serverLost(agent.name());
        } else if (agent.unresponsive() && agent.usable()) {
            agent.suspect();
            policy.feed(new PolicyEvent.ServerCordoned(agent.name()));
        } else if (!agent.unresponsive() && agent.suspected()) {
            updateAvailability(agent);
        }
    }

    private void refuseMisdirected(Requester requester) {
        state.reply(
                requester,
                Refused.of(
                        ErrorKind.BAD_REQUEST,
                        "configuration requests are handled by the entry that receives them, not by the placer"));
    }
}
