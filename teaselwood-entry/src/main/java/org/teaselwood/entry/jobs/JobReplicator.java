package org.teaselwood.entry.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.model.Answer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.EntryMessage.FinishedJob;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.EntryMessage.JobTableAcknowledged;
import org.teaselwood.protocol.message.EntryMessage.JobTableChange;

/**
 * Replicates the job table to the standby, and holds the replica on the standby. A new standby, or one whose connection
 * was interrupted, first gets the whole table. Changes between two events are sent as one message. Confined to the
 * core's thread.
 */
public final class JobReplicator {
    private static final int MESSAGE_BYTES = 256 * 1024;
    private static final int RECORD_BYTES = 2_048;
    private static final long OUTDATED_MILLISECONDS = 30_000;
    /** Larger answers are not replicated; the caller of a short request whose answer is lost sends it again. */
    private static final int LARGEST_REPLICATED_ANSWER_BYTES = 64 * 1024;

    private static final long MAXIMUM_REPLICA_ANSWER_BYTES = 8L * 1024 * 1024;

    private final EntryContext context;
    private final Outbox outbox;
    /** Replica that a placer sent to this entry. */
    private final Map<JobIdentifier, JobRecord> replica = new TreeMap<>();

    /** Answers in the replica that are not in the key-value service, the oldest first. */
    private final Map<JobIdentifier, Answer> replicaAnswers = new LinkedHashMap<>();

    private long replicaAnswerBytes;

    private Term replicaTerm = Term.NONE;
    private long replicatedAt;

    private Term term = Term.NONE;
    private String standby = "";
    private long generation;
    private long sequence;
    private final Set<JobIdentifier> changed = new LinkedHashSet<>();
    private final Set<JobIdentifier> removed = new LinkedHashSet<>();
    private final List<PendingAction> pendingActions = new ArrayList<>();

    /** Action to run once the standby has acknowledged a sequence number. Immutable. */
    private record PendingAction(JobIdentifier job, long sequence, Runnable action) {}

    /** Creates a replicator without a standby. */
    public JobReplicator(EntryContext context, Outbox outbox) {
        this.context = context;
        this.outbox = outbox;
    }

    /** Starts replication under a term because this entry became placer. */
    public void begin(Term newTerm) {
        term = newTerm;
        end();
    }

    /** Stops replication because this entry is no longer placer. Actions that wait for the standby are dropped. */
    public void end() {
        standby = "";
        sequence = 0;
        changed.clear();
        removed.clear();
        pendingActions.clear();
    }

    /** Marks a job for replication. */
    public void changed(Job job) {
        changed.add(job.identifier());
    }

    /** Marks a job for removal from the replica. */
    public void removed(Job job) {
        changed.remove(job.identifier());
        removed.add(job.identifier());
    }

    /** Runs an action once the standby has the job, or at the next flush if there is no standby. */
    public void whenReplicated(Job job, Runnable action) {
        changed.add(job.identifier());
        pendingActions.add(new PendingAction(job.identifier(), Long.MAX_VALUE, action));
    }

    /** Returns whether no change is unsent and no action waits for the standby. */
    public boolean idle() {
        return changed.isEmpty() && removed.isEmpty() && pendingActions.isEmpty();
    }

    /** Sends the changes to the standby, which may differ from the previous one or be absent (an empty name). */
    public void flush(String presentStandby, long presentGeneration, JobTable table) {
        boolean reset = !presentStandby.equals(standby) || presentGeneration != generation;
        standby = presentStandby;
        generation = presentGeneration;
        if (standby.isEmpty()) {
            changed.clear();
            removed.clear();
            List<PendingAction> actions = List.copyOf(pendingActions);
            pendingActions.clear();
            actions.forEach(action -> action.action().run());
            return;
        }
        if (reset) {
            changed.clear();
            removed.clear();
            send(table.all(), table, true);
            pendingActions.replaceAll(action -> new PendingAction(action.job(), sequence, action.action()));
        } else if (!changed.isEmpty() || !removed.isEmpty()) {
            List<Job> jobs =
                    changed.stream().flatMap(job -> table.find(job).stream()).toList();
            send(jobs, table, false);
            changed.clear();
            removed.clear();
            pendingActions.replaceAll(action -> action.sequence() == Long.MAX_VALUE
                    ? new PendingAction(action.job(), sequence, action.action())
                    : action);
        }
    }

    /** Handles the standby's acknowledgement of a change. */
    public void acknowledged(String entry, JobTableAcknowledged message) {
        if (!entry.equals(standby) || !message.term().equals(term)) {
            return;
        }
        List<PendingAction> done = pendingActions.stream()
                .filter(action -> action.sequence() <= message.sequence())
                .toList();
        pendingActions.removeAll(done);
        done.forEach(action -> action.action().run());
    }

    /** Applies a change that a placer sent to this entry as its standby. Changes of a lower term are ignored. */
    public void received(String placer, JobTableChange change) {
        if (change.term().compareTo(replicaTerm) < 0) {
            return;
        }
        replicaTerm = change.term();
        replicatedAt = context.now();
        if (change.reset()) {
            dropReplica();
        }
        change.changed().forEach(record -> replica.put(record.job(), record));
        change.removed().forEach(this::dropReplicaOf);
        outbox.toEntry(placer, new JobTableAcknowledged(change.term(), change.sequence()));
    }

    /** Adds a finished job that a placer sent to this entry as its standby. */
    public void received(FinishedJob finished) {
        if (finished.term().compareTo(replicaTerm) == 0) {
            addFinished(finished);
        }
    }

    /** Returns the records of the replica that this entry holds. */
    public Collection<JobRecord> replica() {
        return replica.values();
    }

    /** Returns the answers in the replica that are not in the key-value service. */
    public Map<JobIdentifier, Answer> replicaAnswers() {
        return replicaAnswers;
    }

    /**
     * Replaces the replica by records and answers of this entry's own table, as if a placer of the term had sent them,
     * so that they survive the end of this entry's term.
     */
    public void retain(Term ownTerm, Collection<JobRecord> records, JobTable table) {
        replicaTerm = ownTerm;
        replicatedAt = context.now();
        dropReplica();
        records.forEach(record -> replica.put(record.job(), record));
        table.all().forEach(job -> finishedRecord(job, table).ifPresent(this::addFinished));
    }

    /**
     * Drops an outdated replica. A placer of a higher term that has not updated it uses another entry as its standby.
     */
    public void tick() {
        boolean outdated = replicaTerm.compareTo(context.highestTerm()) < 0;
        if (outdated && !replica.isEmpty() && context.now() - replicatedAt >= OUTDATED_MILLISECONDS) {
            dropReplica();
        }
    }

    /** Drops the replica. */
    public void dropReplica() {
        replica.clear();
        replicaAnswers.clear();
        replicaAnswerBytes = 0;
    }

    private void addFinished(FinishedJob finished) {
        JobRecord record = finished.record();
        dropReplicaOf(record.job());
        replica.put(record.job(), record);
        if (record.state() == JobState.SUCCEEDED) {
            Answer answer = Answer.verified(finished.content(), record.answerLength(), record.answerChecksum());
            replicaAnswers.put(record.job(), answer);
            replicaAnswerBytes += answer.length();
        }
        while (replicaAnswerBytes > MAXIMUM_REPLICA_ANSWER_BYTES) {
            dropReplicaOf(replicaAnswers.keySet().iterator().next());
        }
    }

    private void dropReplicaOf(JobIdentifier job) {
        replica.remove(job);
        Answer answer = replicaAnswers.remove(job);
        replicaAnswerBytes -= answer == null ? 0 : answer.length();
    }

    /**
     * Returns the finished job for the standby, or empty if the key-value service has it or its answer is too large.
     */
    private Optional<FinishedJob> finishedRecord(Job job, JobTable table) {
        if (!job.state().isFinal() || job.isPersisted() && job.isWritten()) {
            return Optional.empty();
        }
        JobRecord record = job.record(term, context.settings().incarnation());
        if (job.state() != JobState.SUCCEEDED) {
            return Optional.of(new FinishedJob(term, record, new byte[0]));
        }
        return table.answer(job.identifier())
                .filter(answer -> answer.length() <= LARGEST_REPLICATED_ANSWER_BYTES)
                .map(answer -> new FinishedJob(term, record, answer.content()));
    }

    private void send(Collection<Job> jobs, JobTable table, boolean reset) {
        List<JobRecord> batch = new ArrayList<>();
        int bytes = 0;
        boolean first = reset;
        List<Job> replicated =
                jobs.stream().filter(job -> job.accepted() || job.repeatable()).toList();
        for (Job job : replicated) {
            job.standbyRecord(term, context.settings().incarnation())
                    .ifPresentOrElse(batch::add, () -> removed.add(job.identifier()));
            bytes += RECORD_BYTES + Outbox.textBytes(job.submission().parameters());
            if (bytes >= MESSAGE_BYTES) {
                deliver(first, batch);
                first = false;
                batch.clear();
                bytes = 0;
            }
        }
        deliver(first, batch);
        replicated.forEach(job -> finishedRecord(job, table).ifPresent(finished -> outbox.toEntry(standby, finished)));
    }

    private void deliver(boolean reset, List<JobRecord> batch) {
        sequence++;
        outbox.toEntry(standby, new JobTableChange(term, sequence, reset, List.copyOf(batch), List.copyOf(removed)));
    }
}
