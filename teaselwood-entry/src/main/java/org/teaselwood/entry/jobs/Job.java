package org.teaselwood.entry.jobs;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaselwood.model.ErrorAnswer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.model.Term;
import org.teaselwood.model.WorkKind;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.EntryMessage.MarkedAgent;
import org.teaselwood.protocol.message.JobView;

/** Job in the job table of the placer. A final state never changes. Confined to the core's thread. */
public final class Job {
    /** Revision of a record that may or may not exist in the key-value service. */
    public static final long REVISION_UNKNOWN = -1;

    private static final int TERM_SHIFT = 24;

    private final JobIdentifier identifier;
    private final String region;
    private final JobSubmission submission;
    private final Template template;
    private final long submittedAt;

    private JobState state = JobState.QUEUED;
    private long version;
    private int ordinal;
    private int markedAttempt;
    private List<MarkedAgent> marked = List.of();
    private String resumeFrom = "";
    private long startedAt;
    private long finishedAt;
    private String errorKind = "";
    private String message = "";
    private int answerLength = -1;
    private int answerChecksum;
    private int progress;
    private String lastFailure = "";

    /** Revision of the record in the key-value service, 0 for none or {@link #REVISION_UNKNOWN}. */
    private long storeRevision;
    /** Version of the record in the key-value service, -1 for none. */
    private long storedVersion = -1;

    private boolean accepted;
    private boolean cancelRequested;
    /** Whether an attempt may have started that this placer does not know of. */
    private boolean mayHaveStarted;

    /** Creates a job that has not been accepted yet. */
    public Job(JobIdentifier identifier, String region, JobSubmission submission, Template template, long submittedAt) {
        this.identifier = identifier;
        this.region = region;
        this.submission = submission;
        this.template = template;
        this.submittedAt = submittedAt;
    }

    /** Restores an accepted job from its record. */
    public static Job of(JobRecord record) {
        Job job = new Job(
                record.job(), record.region(), record.submission(), record.template(), record.submittedMilliseconds());
        job.state = record.state();
        job.version = record.version();
        job.ordinal = record.ordinal();
        job.markedAttempt = record.attempt();
        job.marked = record.marked();
        job.resumeFrom = record.resumeFrom();
        job.startedAt = record.startedMilliseconds();
        job.finishedAt = record.finishedMilliseconds();
        job.errorKind = record.errorKind();
        job.message = record.message();
        job.answerLength = record.answerLength();
        job.answerChecksum = record.answerChecksum();
        job.accepted = true;
        job.mayHaveStarted = record.submission().repeatable();
        return job;
    }

    /** Returns the record of the current state. */
    public JobRecord record(Term term, String writer) {
        return record(term, writer, state.isFinal() || state == JobState.QUEUED ? state : JobState.STARTING);
    }

    /**
     * Returns the record for the standby, which gets no answers. A job is recorded as succeeded only after its answer
     * was written; before that, a new placer fetches the answer from the agents. A finished short request is not
     * included, because it is sent together with its answer.
     */
    public Optional<JobRecord> standbyRecord(Term term, String writer) {
        if (state.isFinal() && !isPersisted()) {
            return Optional.empty();
        }
        boolean unwritten = state == JobState.SUCCEEDED && !isWritten();
        return Optional.of(unwritten ? record(term, writer, JobState.STARTING) : record(term, writer));
    }

    /** Returns whether the current state is in the key-value service or is never written to it. */
    public boolean isWritten() {
        return !isPersisted() || storedVersion >= version;
    }

    private JobRecord record(Term term, String writer, JobState persistedState) {
        return new JobRecord(
                identifier,
                region,
                submission,
                template,
                persistedState,
                term,
                writer,
                version,
                markedAttempt,
                ordinal,
                marked,
                resumeFrom,
                submittedAt,
                startedAt,
                finishedAt,
                errorKind,
                message,
                answerLength,
                answerChecksum);
    }

    /** Returns the job as its caller sees it. */
    public JobView view() {
        return new JobView(
                identifier,
                region,
                submission.requestKey(),
                submission.team(),
                submission.template(),
                state,
                outcome(),
                version,
                ordinal,
                state == JobState.SUCCEEDED ? 100 : progress,
                submittedAt,
                startedAt,
                finishedAt,
                storedVersion >= 0,
                errorKind,
                message,
                answerLength,
                answerChecksum);
    }

    /** Increments the version after a change. Versions also rise from one term to the next. */
    public void incrementVersion(Term term) {
        version = Math.max(version, term.number() << TERM_SHIFT) + 1;
    }

    /** Returns the job to the queue. */
    public void markQueued() {
        state = JobState.QUEUED;
        markedAttempt = 0;
        marked = List.of();
        progress = 0;
    }

    /**
     * Marks an attempt as being set up. Only jobs that are not idempotent are marked with the attempt and its agents.
     */
    public void markStarting(int attempt, List<MarkedAgent> agents) {
        state = JobState.STARTING;
        markedAttempt = attempt;
        marked = agents;
    }

    /** Counts a new attempt. */
    public void countAttempt() {
        ordinal++;
        state = JobState.STARTING;
    }

    /** Records that all parts run. */
    public void markRunning(long wallClockMilliseconds) {
        state = JobState.RUNNING;
        startedAt = wallClockMilliseconds;
    }

    /** Records that the job is being stopped. */
    public void markStopping() {
        state = JobState.STOPPING;
    }

    /** Sets the checkpoint from which the next attempt resumes. */
    public void checkpointed(String checkpoint) {
        resumeFrom = checkpoint;
    }

    /** Records the final state. */
    public void finish(JobState finalState, ErrorKind kind, String text, long wallClockMilliseconds) {
        state = finalState;
        errorKind = kind == null ? "" : kind.code();
        message = text;
        finishedAt = wallClockMilliseconds;
    }

    /** Records the length in bytes and the CRC-32C of the complete answer. */
    public void setAnswer(int length, int checksum) {
        answerLength = length;
        answerChecksum = checksum;
    }

    /** Records that the key-value service holds the record of a version. */
    public void markStored(long recordVersion, long revision) {
        storedVersion = Math.max(storedVersion, recordVersion);
        storeRevision = revision;
    }

    /** Sets the known revision of the record in the key-value service. */
    public void storeRevision(long revision) {
        storeRevision = revision;
    }

    /** Marks the job as accepted: it will run, and its caller gets a confirmation. */
    public void markAccepted() {
        accepted = true;
    }

    /** Records that the caller requested cancellation. */
    public void requestCancel() {
        cancelRequested = true;
    }

    /** Records that an attempt may have started that this placer does not know of. */
    public void markStartUncertain() {
        mayHaveStarted = true;
    }

    /** Records the progress of the attempt, in percent. */
    public void progress(int percent) {
        progress = percent;
    }

    /** Records why the latest attempt ended. */
    public void setLastFailure(String failure) {
        lastFailure = failure;
    }

    /** Returns why the latest attempt ended, or an empty string if no reason is known. */
    public String lastFailure() {
        return lastFailure;
    }

    /** Returns whether the job is written to the key-value service: all jobs except idempotent short requests are. */
    public boolean isPersisted() {
        return template.kind() == WorkKind.JOB || !submission.repeatable();
    }

    /** Returns whether another submission under the same key requests the same work. */
    public boolean matches(JobSubmission other) {
        try {
            Map<String, String> own = template.resolveParameters(submission.parameters());
            return submission.template().equals(other.template())
                    && submission.repeatable() == other.repeatable()
                    && own.equals(template.resolveParameters(other.parameters()));
        } catch (TeaselwoodException exception) {
            return false;
        }
    }

    /** Returns whether a record marks an attempt as starting that is not the one known here. */
    public boolean hasDifferentStartMarker(JobRecord record) {
        return !repeatable()
                && !state.isFinal()
                && record.state() == JobState.STARTING
                && record.attempt() > 0
                && record.attempt() != markedAttempt;
    }

    private Outcome outcome() {
        return switch (state) {
            case QUEUED, STARTING, RUNNING, STOPPING -> Outcome.PENDING;
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case FAILED -> Outcome.FAILED;
            case NOT_RUN -> Outcome.NOT_RUN;
            case CANCELLED -> Outcome.CANCELLED;
            case UNKNOWN -> Outcome.UNKNOWN;
        };
    }

    /**
     * Returns the final state for an error kind. A job that ran is never reported as not run, and one that may have run
     * is reported as unknown.
     */
    public JobState finalStateFor(ErrorKind kind) {
        return switch (ErrorAnswer.of(kind).outcome()) {
            case NOT_RUN -> startedAt > 0 ? JobState.FAILED : mayHaveStarted ? JobState.UNKNOWN : JobState.NOT_RUN;
            case CANCELLED -> JobState.CANCELLED;
            case UNKNOWN -> JobState.UNKNOWN;
            case SUCCEEDED, FAILED, PENDING -> JobState.FAILED;
        };
    }

    /** Returns the identifier of the job. */
    public JobIdentifier identifier() {
        return identifier;
    }

    /** Returns the submission. */
    public JobSubmission submission() {
        return submission;
    }

    /** Returns the template that was in force at acceptance. */
    public Template template() {
        return template;
    }

    /** Returns the name of the team. */
    public String team() {
        return submission.team();
    }

    /** Returns whether the job is idempotent, so that it may run more than once. */
    public boolean repeatable() {
        return submission.repeatable();
    }

    /** Returns the current state. */
    public JobState state() {
        return state;
    }

    /** Returns the version of the current state. */
    public long version() {
        return version;
    }

    /** Returns the number of the marked attempt, or 0 for none. */
    public int markedAttempt() {
        return markedAttempt;
    }

    /** Returns the agents of the marked attempt. */
    public List<MarkedAgent> marked() {
        return marked;
    }

    /** Returns the checkpoint to resume from, or an empty string for none. */
    public String resumeFrom() {
        return resumeFrom;
    }

    /** Returns the time of submission in wall-clock milliseconds since the epoch. */
    public long submittedAt() {
        return submittedAt;
    }

    /**
     * Returns the time of the latest start in wall-clock milliseconds since the epoch, or 0 before the first start.
     */
    public long startedAt() {
        return startedAt;
    }

    /**
     * Returns the time of the final state in wall-clock milliseconds since the epoch, or 0 if the job has not finished.
     */
    public long finishedAt() {
        return finishedAt;
    }

    /** Returns the length of the answer in bytes, or -1 for none. */
    public int answerLength() {
        return answerLength;
    }

    /** Returns the CRC-32C of the answer. */
    public int answerChecksum() {
        return answerChecksum;
    }

    /** Returns the revision of the record in the key-value service, 0 for none or {@link #REVISION_UNKNOWN}. */
    public long storeRevision() {
        return storeRevision;
    }

    /** Returns the version of the record in the key-value service, or -1 for none. */
    public long storedVersion() {
        return storedVersion;
    }

    /** Returns whether the job was accepted. */
    public boolean accepted() {
        return accepted;
    }

    /** Returns whether the caller requested cancellation. */
    public boolean cancelRequested() {
        return cancelRequested;
    }

    /** Returns whether an attempt may have started that this placer does not know of. */
    public boolean mayHaveStarted() {
        return mayHaveStarted;
    }
}
