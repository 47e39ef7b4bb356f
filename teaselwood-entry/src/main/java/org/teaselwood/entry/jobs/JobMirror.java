package org.teaselwood.entry.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.EntryMessage.JobTableAcknowledged;
import org.teaselwood.protocol.message.EntryMessage.JobTableChange;

/**
 * Copies the job table to the standby, and holds the copy on the standby. A new standby, or one whose connection was
 * interrupted, gets the whole table first. Changes between two events leave as one message.
 */
public final class JobMirror {
    private static final int MESSAGE_BYTES = 256 * 1024;
    private static final int RECORD_BYTES = 2_048;
    private static final long OUTDATED_MILLISECONDS = 30_000;

    private final EntryContext context;
    private final Outbox outbox;
    /** The copy that a placer sent to this entry. */
    private final Map<JobIdentifier, JobRecord> copy = new TreeMap<>();

    private Term copyTerm = Term.NONE;
    private long copiedAt;

    private Term term = Term.NONE;
    private String standby = "";
    private long generation;
    private long sequence;
    private final Set<JobIdentifier> changed = new LinkedHashSet<>();
    private final Set<JobIdentifier> removed = new LinkedHashSet<>();
    private final List<Awaited> awaited = new ArrayList<>();

    /** An action to take when the standby has all up to a sequence number. */
    private record Awaited(JobIdentifier job, long sequence, Runnable action) {}

    /** A mirror without a standby. */
    public JobMirror(EntryContext context, Outbox outbox) {
        this.context = context;
        this.outbox = outbox;
    }

    /** This entry became placer. */
    public void begin(Term newTerm) {
        term = newTerm;
        end();
    }

    /** This entry is not placer any more. */
    public void end() {
        standby = "";
        sequence = 0;
        changed.clear();
        removed.clear();
        awaited.clear();
    }

    /** A job changed. */
    public void changed(Job job) {
        changed.add(job.identifier());
    }

    /** A job left the table. */
    public void removed(Job job) {
        changed.remove(job.identifier());
        removed.add(job.identifier());
    }

    /** Carries an action out when the standby has the job, or when there is no standby. */
    public void whenMirrored(Job job, Runnable action) {
        changed.add(job.identifier());
        awaited.add(new Awaited(job.identifier(), Long.MAX_VALUE, action));
    }

    /** Whether the standby has everything. */
    public boolean idle() {
        return changed.isEmpty() && removed.isEmpty() && awaited.isEmpty();
    }

    /** Sends what changed to the standby, which may be a new one or none (an empty name). */
    public void flush(String presentStandby, long presentGeneration, JobTable table) {
        boolean reset = !presentStandby.equals(standby) || presentGeneration != generation;
        standby = presentStandby;
        generation = presentGeneration;
        if (standby.isEmpty()) {
            changed.clear();
            removed.clear();
            List<Awaited> actions = List.copyOf(awaited);
            awaited.clear();
            actions.forEach(action -> action.action().run());
            return;
        }
        if (reset) {
            changed.clear();
            removed.clear();
            send(table.all(), true);
            awaited.replaceAll(action -> new Awaited(action.job(), sequence, action.action()));
        } else if (!changed.isEmpty() || !removed.isEmpty()) {
            List<Job> jobs =
                    changed.stream().flatMap(job -> table.find(job).stream()).toList();
            send(jobs, false);
            changed.clear();
            removed.clear();
            awaited.replaceAll(action -> action.sequence() == Long.MAX_VALUE
                    ? new Awaited(action.job(), sequence, action.action())
                    : action);
        }
    }

    /** The standby has a change. */
    public void acknowledged(String entry, JobTableAcknowledged message) {
        if (!entry.equals(standby) || !message.term().equals(term)) {
            return;
        }
        List<Awaited> done = awaited.stream()
                .filter(action -> action.sequence() <= message.sequence())
                .toList();
        awaited.removeAll(done);
        done.forEach(action -> action.action().run());
    }

    /** A placer sent a change to this entry as its standby. */
    public void received(String placer, JobTableChange change) {
        if (change.term().compareTo(copyTerm) < 0) {
            return;
        }
        copyTerm = change.term();
        copiedAt = context.now();
        if (change.reset()) {
            copy.clear();
        }
        change.changed().forEach(record -> copy.put(record.job(), record));
        change.removed().forEach(copy::remove);
        outbox.toEntry(placer, new JobTableAcknowledged(change.term(), change.sequence()));
    }

    /** The copy that this entry holds. */
    public Collection<JobRecord> copy() {
        return copy.values();
    }

    /** Keeps records as if a placer of the term had sent them, so that they outlive this entry's own term. */
    public void keep(Term ownTerm, Collection<JobRecord> records) {
        copyTerm = ownTerm;
        copiedAt = context.now();
        copy.clear();
        records.forEach(record -> copy.put(record.job(), record));
    }

    /** Drops a copy that a placer of a higher term has not renewed, because its standby is another entry. */
    public void tick() {
        boolean outdated = copyTerm.compareTo(context.highestTerm()) < 0;
        if (outdated && !copy.isEmpty() && context.now() - copiedAt >= OUTDATED_MILLISECONDS) {
            copy.clear();
        }
    }

    /** Drops the copy. */
    public void dropCopy() {
        copy.clear();
    }

    private void send(Collection<Job> jobs, boolean reset) {
        List<JobRecord> batch = new ArrayList<>();
        int bytes = 0;
        boolean first = reset;
        List<Job> mirrored =
                jobs.stream().filter(job -> job.accepted() || job.repeatable()).toList();
        for (Job job : mirrored) {
            job.mirrored(term, context.settings().incarnation())
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
    }

    private void deliver(boolean reset, List<JobRecord> batch) {
        sequence++;
        outbox.toEntry(standby, new JobTableChange(term, sequence, reset, List.copyOf(batch), List.copyOf(removed)));
    }
}
