package org.teaselwood.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.model.Answer;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.EntryMessage.KeyClaim;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueCondition;
import org.teaselwood.store.KeyValueOperation;

/**
 * Writes job records to the key-value service. A job has at most one open write; changes made in the meantime are
 * combined into the next one. Every write compares the revision that this placer knows, so that a record changed by
 * another placer is never overwritten. Confined to the core's thread.
 */
public final class JobStore {
    private static final long RETRY_MILLISECONDS = 500;

    private final EntryContext context;
    private final TransactionBatcher batcher;
    private final Listener listener;
    private final Map<JobIdentifier, PendingWrite> pendingWrites = new TreeMap<>();
    private final Map<JobIdentifier, Long> retryAt = new TreeMap<>();
    private Term term = Term.NONE;

    /** Listener for the outcome of writes. */
    public interface Listener {
        /** Reports that the key-value service holds the record of a version. */
        void recordWritten(Job job, long version);

        /** Reports that another placer or region wrote the record or claimed the request key. */
        void writeConflicted(Job job, Optional<KeyValue> current);

        /**
         * Reports that the service did not answer the write of a record, which is repeated until its outcome is known.
         */
        void writeUnanswered(Job job);
    }

    /** Creates a store without open writes. */
    public JobStore(EntryContext context, TransactionBatcher batcher, Listener listener) {
        this.context = context;
        this.batcher = batcher;
        this.listener = listener;
    }

    /** Starts writing under a term; results of writes that are open under an earlier term are no longer reported. */
    public void begin(Term newTerm) {
        term = newTerm;
        pendingWrites.clear();
        retryAt.clear();
    }

    /** Drops all unsent writes. Replies to writes already sent are ignored, so that no further job is accepted. */
    public void end() {
        pendingWrites.clear();
        retryAt.clear();
        batcher.clear();
    }

    /** Writes the current state of a job and its answer, if there is one. */
    public void save(Job job, Optional<Answer> answer) {
        if (!job.isPersisted()) {
            return;
        }
        PendingWrite writing = pendingWrites.get(job.identifier());
        if (writing != null) {
            writing.changedMeanwhile = true;
            writing.answer = answer.or(() -> writing.answer);
            return;
        }
        PendingWrite added = new PendingWrite(job, answer);
        pendingWrites.put(job.identifier(), added);
        start(added);
    }

    /** Returns whether the job has an open write. */
    public boolean writing(Job job) {
        return pendingWrites.containsKey(job.identifier());
    }

    /** Returns whether no write is open. */
    public boolean idle() {
        return pendingWrites.isEmpty() && batcher.idle();
    }

    /** Retries failed reads of records. */
    public void tick() {
        List<JobIdentifier> due = retryAt.entrySet().stream()
                .filter(entry -> entry.getValue() <= context.now())
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(job -> {
            retryAt.remove(job);
            Optional.ofNullable(pendingWrites.get(job)).ifPresent(this::start);
        });
    }

    /** Deletes a job's record, answer and claim. */
    public void delete(Job job) {
        if (!job.isPersisted()) {
            return;
        }
        String region = context.settings().region();
        List<KeyValueOperation> operations = new ArrayList<>();
        operations.add(new KeyValueOperation.Delete(JobKeys.record(region, job.identifier())));
        operations.add(new KeyValueOperation.Delete(JobKeys.answer(region, job.identifier())));
        if (!job.repeatable()) {
            operations.add(new KeyValueOperation.Delete(JobKeys.claim(job.submission())));
        }
        batcher.add(new TransactionBatcher.Write(
                JobKeys.record(region, job.identifier()), new byte[0], List.of(), operations, new DeletionListener()));
    }

    private void start(PendingWrite writing) {
        if (writing.job.storeRevision() == Job.REVISION_UNKNOWN) {
            readRevision(writing);
        } else {
            write(writing);
        }
    }

    private void readRevision(PendingWrite writing) {
        String key = JobKeys.record(context.settings().region(), writing.job.identifier());
        context.store().call(new StoreCall.Get(key), reply -> {
            if (pendingWrites.get(writing.job.identifier()) != writing) {
                return;
            }
            if (!(reply instanceof StoreReply.Value value)) {
                retryAt.put(writing.job.identifier(), context.now() + RETRY_MILLISECONDS);
                return;
            }
            boolean newer = value.value()
                    .map(found -> JobKeys.decode(found.value(), JobRecord.class))
                    .filter(record -> record.version() > writing.job.version()
                            || record.state().isFinal() && !writing.job.state().isFinal()
                            || writing.job.hasDifferentStartMarker(record))
                    .isPresent();
            if (newer) {
                pendingWrites.remove(writing.job.identifier());
                listener.writeConflicted(writing.job, value.value());
                return;
            }
            writing.job.storeRevision(value.value().map(KeyValue::revision).orElse(0L));
            write(writing);
        });
    }

    private void write(PendingWrite writing) {
        Job job = writing.job;
        String region = context.settings().region();
        String key = JobKeys.record(region, job.identifier());
        long version = job.version();
        byte[] value = JobKeys.encode(job.record(term, context.settings().incarnation()));
        List<KeyValueCondition> conditions = new ArrayList<>();
        List<KeyValueOperation> operations = new ArrayList<>();
        conditions.add(new KeyValueCondition(key, job.storeRevision()));
        operations.add(new KeyValueOperation.Put(key, value, 0));
        if (job.storeRevision() == 0 && !job.repeatable()) {
            String claim = JobKeys.claim(job.submission());
            byte[] claimed = JobKeys.encode(new KeyClaim(job.identifier(), region));
            conditions.add(new KeyValueCondition(claim, 0));
            operations.add(new KeyValueOperation.Put(claim, claimed, 0));
        }
        writing.answer.ifPresent(answer -> operations.add(
                new KeyValueOperation.Put(JobKeys.answer(region, job.identifier()), answer.content(), 0)));
        writing.changedMeanwhile = false;
        batcher.add(new TransactionBatcher.Write(
                key, value, conditions, operations, new WriteReporter(writing, version, term)));
    }

    /** Open write of one job. */
    private static final class PendingWrite {
        private final Job job;
        private Optional<Answer> answer;
        private boolean changedMeanwhile;

        PendingWrite(Job job, Optional<Answer> answer) {
            this.job = job;
            this.answer = answer;
        }
    }

    /** Reports the outcome of one write of a job; an outdated one is ignored. */
    private final class WriteReporter implements TransactionBatcher.Listener {
        private final PendingWrite writing;
        private final long version;
        private final Term writeTerm;

        WriteReporter(PendingWrite writing, long version, Term writeTerm) {
            this.writing = writing;
            this.version = version;
            this.writeTerm = writeTerm;
        }

        @Override
        public void written(long revision) {
            if (outdated()) {
                return;
            }
            writing.job.markStored(version, revision);
            if (writing.changedMeanwhile) {
                write(writing);
            } else {
                pendingWrites.remove(writing.job.identifier());
            }
            listener.recordWritten(writing.job, version);
        }

        @Override
        public void conflicted(Optional<KeyValue> current) {
            if (outdated()) {
                return;
            }
            pendingWrites.remove(writing.job.identifier());
            listener.writeConflicted(writing.job, current);
        }

        @Override
        public void unanswered() {
            if (!outdated()) {
                listener.writeUnanswered(writing.job);
            }
        }

        private boolean outdated() {
            return !writeTerm.equals(term) || pendingWrites.get(writing.job.identifier()) != writing;
        }
    }

    /** Listener for deletions, whose outcome needs no handling: they are repeated until they take effect. */
    private static final class DeletionListener implements TransactionBatcher.Listener {
        @Override
        public void written(long revision) {}

        @Override
        public void conflicted(Optional<KeyValue> current) {}

        @Override
        public void unanswered() {}
    }
}
