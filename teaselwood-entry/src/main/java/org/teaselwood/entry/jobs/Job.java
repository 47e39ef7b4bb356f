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

/** One job in the table of the placer. Confined to the core's thread. A final state never changes. */
public final class Job {
    /** Revision of a record of which it is not known whether the key-value service holds it. */
    public static final long REVISION_UNKNOWN = -1;

    private static final int TERM_SHIFT = 24;

    private final JobIdentifier identifier;
    private final String region;
    private final JobSubmission submission;
    private final Template template;
    private final long submittedEpoch;

    private JobState state = JobState.QUEUED;
    private long version;
    private int ordinal;
    private int markedAttempt;
    private List<MarkedAgent> marked = List.of();
    private String resumeFrom = "";
    private long startedEpoch;
    private long finishedEpoch;
    private String errorKind = "";
    private String message = "";
    private int answerLength = -1;
    private int answerChecksum;
    private int progress;
    private String lastFailure = "";

    /** Revision of the record in the key-value service, 0 when there is none. */
    private long storeRevision;
    /** Version of the record in the key-value service, -1 for none. */
    private long storedVersion = -1;

    private boolean accepted;
    private boolean cancelRequested;
    /** Whether a start may have happened of which this placer has no trace. */
    private boolean startUncertain;

    /** A new job. */
    public Job(JobIdentifier identifier, String region, JobSubmission submission, Template template, long epoch) {
        this.identifier = identifier;
        this.region = region;
        this.submission = submission;
        this.template = template;
        this.submittedEpoch = epoch;
    }

    /** A job from its record. */
    public static Job of(JobRecord record) {
        Job job = new Job(
                record.job(), record.region(), record.submission(), record.template(), record.submittedMilliseconds());
        job.state = record.state();
        job.version = record.version();
        job.ordinal = record.ordinal();
        job.markedAttempt = record.attempt();
        job.marked = record.marked();
        job.resumeFrom = record.resumeFrom();
        job.startedEpoch = record.startedMilliseconds();
        job.finishedEpoch = record.finishedMilliseconds();
        job.errorKind = record.errorKind();
        job.message = record.message();
        job.answerLength = record.answerLength();
        job.answerChecksum = record.answerChecksum();
        job.accepted = true;
        job.startUncertain = record.submission().repeatable();
        return job;
    }

    /** The record of the present state. */
    public JobRecord record(Term term, String writer) {
        return record(term, writer, state.isFinal() || state == JobState.QUEUED ? state : JobState.STARTING);
    }

    /**
     * The record for a copy that has no answers. Success counts as such only after the answer was written; before, a
     * new placer fetches the answer from the agents. A short request that finished is copied with its answer alone.
     */
    public Optional<JobRecord> mirrored(Term term, String writer) {
        if (state.isFinal() && !recorded()) {
            return Optional.empty();
        }
        boolean unwritten = state == JobState.SUCCEEDED && !written();
        return Optional.of(unwritten ? record(term, writer, JobState.STARTING) : record(term, writer));
    }

    /** Whether the present state is in the key-value service, or never will be. */
    public boolean written() {
        return !recorded() || storedVersion >= version;
    }

    private JobRecord record(Term term, String writer, JobState recorded) {
        return new JobRecord(
                identifier,
                region,
                submission,
                template,
                recorded,
                term,
                writer,
                version,
                markedAttempt,
                ordinal,
                marked,
                resumeFrom,
                submittedEpoch,
                startedEpoch,
                finishedEpoch,
                errorKind,
                message,
                answerLength,
                answerChecksum);
    }

    /** The job as its caller sees it. */
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
                submittedEpoch,
                startedEpoch,
                finishedEpoch,
                storedVersion >= 0,
                errorKind,
                message,
                answerLength,
                answerChecksum);
    }

    /** Notes a change. Versions rise also from one term to the next. */
    public void touch(Term term) {
        version = Math.max(version, term.number() << TERM_SHIFT) + 1;
    }

    /** The job waits (again). */
    public void queued() {
        state = JobState.QUEUED;
        markedAttempt = 0;
        marked = List.of();
        progress = 0;
    }

    /** An attempt is being set up; the mark is only for jobs that are not repeatable. */
    public void starting(int attempt, List<MarkedAgent> agents) {
        state = JobState.STARTING;
        markedAttempt = attempt;
        marked = agents;
    }

    /** Another attempt begins. */
    public void countAttempt() {
        ordinal++;
        state = JobState.STARTING;
    }

    /** All parts run. */
    public void running(long epoch) {
        state = JobState.RUNNING;
        startedEpoch = epoch;
    }

    /** A stop is under way. */
    public void stopping() {
        state = JobState.STOPPING;
    }

    /** The next attempt resumes from a checkpoint. */
    public void checkpointed(String checkpoint) {
        resumeFrom = checkpoint;
    }

    /** The job ended. */
    public void finished(JobState finalState, ErrorKind kind, String text, long epoch) {
        state = finalState;
        errorKind = kind == null ? "" : kind.code();
        message = text;
        finishedEpoch = epoch;
    }

    /** The length and checksum of the whole answer. */
    public void answered(int length, int checksum) {
        answerLength = length;
        answerChecksum = checksum;
    }

    /** The record of a version is in the key-value service. */
    public void stored(long recordVersion, long revision) {
        storedVersion = Math.max(storedVersion, recordVersion);
        storeRevision = revision;
    }

    /** What is known of the record in the key-value service. */
    public void storeRevision(long revision) {
        storeRevision = revision;
    }

    /** The job was accepted: it will run, and its caller is told so. */
    public void accept() {
        accepted = true;
    }

    /** The caller wants the job cancelled. */
    public void requestCancel() {
        cancelRequested = true;
    }

    /** A start may have happened that left no trace. */
    public void uncertain() {
        startUncertain = true;
    }

    /** Notes the progress of the attempt, in percent. */
    public void progress(int percent) {
        progress = percent;
    }

    /** Notes why the newest attempt ended. */
    public void failedWith(String failure) {
        lastFailure = failure;
    }

    /** Why the newest attempt ended, empty for no reason known. */
    public String lastFailure() {
        return lastFailure;
    }

    /** Whether the job is written to the key-value service: all but repeatable short requests are. */
    public boolean recorded() {
        return template.kind() == WorkKind.JOB || !submission.repeatable();
    }

    /** Whether another submission under the same key asks for the same. */
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

    /** Whether a record shows a starting mark of an attempt that is not the one known here. */
    public boolean markedOtherwise(JobRecord record) {
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
     * The final state for an error kind. A job that ran is not reported as not run, and one that may have run is
     * reported as unknown.
     */
    public JobState finalStateFor(ErrorKind kind) {
        return switch (ErrorAnswer.of(kind).outcome()) {
            case NOT_RUN -> startedEpoch > 0 ? JobState.FAILED : startUncertain ? JobState.UNKNOWN : JobState.NOT_RUN;
            case CANCELLED -> JobState.CANCELLED;
            case UNKNOWN -> JobState.UNKNOWN;
            case SUCCEEDED, FAILED, PENDING -> JobState.FAILED;
        };
    }

    /** Identifier. */
    public JobIdentifier identifier() {
        return identifier;
    }

    /** What was submitted. */
    public JobSubmission submission() {
        return submission;
    }

    /** The template in force at acceptance. */
    public Template template() {
        return template;
    }

    /** Name of the team. */
    public String team() {
        return submission.team();
    }

    /** Whether the job may run more than once. */
    public boolean repeatable() {
        return submission.repeatable();
    }

    /** Present state. */
    public JobState state() {
        return state;
    }

    /** Version of the present state. */
    public long version() {
        return version;
    }

    /** Number of the marked attempt, 0 for none. */
    public int markedAttempt() {
        return markedAttempt;
    }

    /** Agents of the marked attempt. */
    public List<MarkedAgent> marked() {
        return marked;
    }

    /** Checkpoint to resume from, empty for none. */
    public String resumeFrom() {
        return resumeFrom;
    }

    /** Time of submission, since the epoch. */
    public long submittedEpoch() {
        return submittedEpoch;
    }

    /** Time of the newest start, since the epoch, 0 before it. */
    public long startedEpoch() {
        return startedEpoch;
    }

    /** Time of the final state, since the epoch, 0 before it. */
    public long finishedEpoch() {
        return finishedEpoch;
    }

    /** Length of the answer in bytes, -1 for none. */
    public int answerLength() {
        return answerLength;
    }

    /** CRC-32C of the answer. */
    public int answerChecksum() {
        return answerChecksum;
    }

    /** Revision of the record in the key-value service. */
    public long storeRevision() {
        return storeRevision;
    }

    /** Version of the record in the key-value service, -1 for none. */
    public long storedVersion() {
        return storedVersion;
    }

    /** Whether the job was accepted. */
    public boolean accepted() {
        return accepted;
    }

    /** Whether the caller wants the job cancelled. */
    public boolean cancelRequested() {
        return cancelRequested;
    }

    /** Whether a start may have happened that left no trace. */
    public boolean startUncertain() {
        return startUncertain;
    }
}
