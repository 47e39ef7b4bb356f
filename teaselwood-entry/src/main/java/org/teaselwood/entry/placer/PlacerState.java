package org.teaselwood.entry.placer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.jobs.JobReplicator;
import org.teaselwood.entry.jobs.JobTable;
import org.teaselwood.entry.jobs.JobWaiters;
import org.teaselwood.model.AttemptIdentifier;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.FrontReply;

/** State shared by the components of a placer. Cleared when a takeover begins and when the placer steps down. */
final class PlacerState {
    private final EntryContext context;
    private final Outbox outbox;
    private final JobReplicator replicator;
    private final ReplySink replies;
    private final JobTable table = new JobTable();
    private final JobWaiters waiters = new JobWaiters();
    private final AgentDirectory directory = new AgentDirectory();
    private final Map<AttemptIdentifier, Attempt> attempts = new TreeMap<>();
    private final Map<JobIdentifier, Attempt> attemptOfJob = new TreeMap<>();
    /** Jobs that are registered with the policy. */
    private final TreeSet<JobIdentifier> scheduled = new TreeSet<>();

    private Term term = Term.NONE;
    private boolean recordsLoaded;
    /** Incremented when the state is cleared. */
    private long epoch;

    /** Receiver of the placer's replies to front ends. */
    interface ReplySink {
        /** Sends a reply to a front end of this or another entry. */
        void reply(Requester requester, FrontReply reply);
    }

    PlacerState(EntryContext context, Outbox outbox, JobReplicator replicator, ReplySink replies) {
        this.context = context;
        this.outbox = outbox;
        this.replicator = replicator;
        this.replies = replies;
    }

    void begin(Term newTerm) {
        term = newTerm;
    }

    void clear() {
        table.clear();
        directory.clear();
        attempts.clear();
        attemptOfJob.clear();
        scheduled.clear();
        recordsLoaded = false;
        epoch++;
    }

    /** Calls the key-value service. If this entry steps down before the reply, the requesters are refused and retry. */
    void callStore(List<Requester> requesters, StoreCall call, Consumer<StoreReply> consumer) {
        long epochAtCall = epoch;
        context.store().call(call, reply -> {
            if (epochAtCall == epoch) {
                consumer.accept(reply);
            } else {
                requesters.forEach(requester -> reply(requester, FrontReply.Refused.of(ErrorKind.NO_PLACER)));
            }
        });
    }

    /** Increments the version of a changed job, replicates it to the standby, and replies to waiting callers. */
    void jobChanged(Job job) {
        job.incrementVersion(term);
        if (job.accepted()) {
            replicator.changed(job);
        }
        waiters.changed(job, (requester, changed) -> reply(requester, new FrontReply.JobReply(changed.view())));
    }

    /** Replicates a job that was read from its record, and replies to waiting callers. */
    void jobLoaded(Job job) {
        replicator.changed(job);
        waiters.changed(job, (requester, changed) -> reply(requester, new FrontReply.JobReply(changed.view())));
    }

    void reply(Requester requester, FrontReply reply) {
        replies.reply(requester, reply);
    }

    /** Sends a command to an agent. The command is dropped if the agent is unknown or not connected. */
    void sendCommand(String server, AgentCommand command) {
        directory.find(server).ifPresent(agent -> outbox.toAgent(term, agent.relay(), server, command));
    }

    void open(Attempt attempt) {
        attempts.put(attempt.identifier(), attempt);
        attemptOfJob.put(attempt.job().identifier(), attempt);
    }

    void close(Attempt attempt) {
        attempts.remove(attempt.identifier());
        attemptOfJob.remove(attempt.job().identifier(), attempt);
    }

    Optional<Attempt> attemptOf(Job job) {
        return Optional.ofNullable(attemptOfJob.get(job.identifier()));
    }

    Optional<Attempt> attempt(AttemptIdentifier identifier) {
        return Optional.ofNullable(attempts.get(identifier));
    }

    /** Returns the open attempts, ordered by identifier. */
    List<Attempt> attempts() {
        return List.copyOf(attempts.values());
    }

    EntryContext context() {
        return context;
    }

    Outbox outbox() {
        return outbox;
    }

    JobReplicator replicator() {
        return replicator;
    }

    JobTable table() {
        return table;
    }

    JobWaiters waiters() {
        return waiters;
    }

    AgentDirectory directory() {
        return directory;
    }

    TreeSet<JobIdentifier> scheduled() {
        return scheduled;
    }

    Term term() {
        return term;
    }

    boolean recordsLoaded() {
        return recordsLoaded;
    }

    void recordsLoaded(boolean loaded) {
        recordsLoaded = loaded;
    }

    long now() {
        return context.now();
    }
}
