package org.teaselwood.entry.placer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaselwood.entry.core.Outbox;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.jobs.JobKeys;
import org.teaselwood.entry.jobs.JobStore;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.Outcome;
import org.teaselwood.model.Team;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.EntryMessage.KeyClaim;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest.SubmitJob;
import org.teaselwood.store.KeyValue;

/**
 * Accepts jobs. A job is accepted when its record is written to the key-value service. If that service does not
 * respond, an idempotent job is also accepted when it is replicated to the standby. A request key belongs to the first
 * submission that used it, for deduplication: keys are looked up in the job table, and the key of a job that is not
 * idempotent is also claimed in the key-value service.
 */
final class Submissions {
    private static final int MAXIMUM_PARAMETER_BYTES = 48 * 1024;
    /** Time without a response of the key-value service after which an idempotent job is accepted in memory. */
    private static final long SLOW_STORE_MILLISECONDS = 1_000;

    private static final long ACCEPTANCE_TIMEOUT_MILLISECONDS = 5_000;

    private final PlacerState state;
    private final JobLifecycle lifecycle;
    private final Recovery recovery;
    private final JobStore store;
    private final Map<JobIdentifier, PendingSubmission> pending = new TreeMap<>();
    private long counter;

    /** A job that is not accepted yet, with the requesters that wait for it. */
    private static final class PendingSubmission {
        private final Job job;
        private final long startedAt;
        private final List<Requester> requesters = new ArrayList<>();
        private boolean replicationRequested;

        PendingSubmission(Job job, long startedAt) {
            this.job = job;
            this.startedAt = startedAt;
        }
    }

    Submissions(PlacerState state, JobLifecycle lifecycle, Recovery recovery, JobStore store) {
        this.state = state;
        this.lifecycle = lifecycle;
        this.recovery = recovery;
        this.store = store;
    }

    /** Refuses all pending submissions, so that the callers retry with the next placer. */
    void end() {
        List<PendingSubmission> open = List.copyOf(pending.values());
        pending.clear();
        open.forEach(waiting -> refuse(waiting.requesters, Refused.of(ErrorKind.NO_PLACER)));
    }

    void submit(Requester requester, SubmitJob request) {
        JobSubmission submission = request.submission();
        try {
            Template template = validated(request);
            Optional<Job> earlier = state.table().findByKey(submission);
            if (earlier.isPresent()) {
                joinExisting(requester, submission, earlier.get());
                return;
            }
            checkLimits(submission);
            create(requester, submission, template);
        } catch (TeaselwoodException exception) {
            state.reply(requester, Refused.of(exception));
        }
    }

    /** Removes a requester that disconnected from the pending submissions. */
    void abandon(Requester requester) {
        pending.values().forEach(waiting -> waiting.requesters.remove(requester));
    }

    /** Accepts a job when its record was written. */
    void recordWritten(Job job) {
        if (!job.accepted()) {
            accept(job);
        }
    }

    /** Falls back to acceptance in memory when the key-value service did not respond to the write of a record. */
    void writeDelayed(Job job) {
        PendingSubmission waiting = pending.get(job.identifier());
        if (waiting != null && job.repeatable()) {
            acceptInMemory(waiting);
        }
    }

    /** Handles a conflict: the request key of a pending job is claimed by another job. */
    void keyClaimed(Job job) {
        PendingSubmission waiting = pending.remove(job.identifier());
        state.table().remove(job);
        List<Requester> requesters = waiting == null ? List.of() : waiting.requesters;
        state.callStore(requesters, new StoreCall.Get(JobKeys.claim(job.submission())), reply -> {
            Optional<KeyValue> claim = reply instanceof StoreReply.Value value ? value.value() : Optional.empty();
            if (claim.isEmpty()) {
                refuse(requesters, storeUnavailable(job.submission()));
                return;
            }
            KeyClaim keyClaim = JobKeys.decode(claim.get().value(), KeyClaim.class);
            if (keyClaim.region().equals(state.context().settings().region())) {
                joinRecorded(requesters, job.submission(), keyClaim);
            } else {
                refuse(requesters, Refused.of(ErrorKind.OTHER_REGION, keyClaim.region()));
            }
        });
    }

    /**
     * Accepts idempotent jobs in memory, and refuses waiting callers, when the key-value service responds too slowly.
     */
    void tick() {
        List.copyOf(pending.values()).forEach(waiting -> {
            long age = state.now() - waiting.startedAt;
            if (waiting.job.repeatable() && age >= SLOW_STORE_MILLISECONDS) {
                acceptInMemory(waiting);
            }
            if (age >= ACCEPTANCE_TIMEOUT_MILLISECONDS && !waiting.requesters.isEmpty()) {
                String detail = "outcome unknown, the job may have been accepted; retry with the same request key";
                ErrorKind kind = ErrorKind.STORE_UNAVAILABLE;
                refuse(waiting.requesters, new Refused(kind, kind.message(detail), Outcome.UNKNOWN));
                waiting.requesters.clear();
            }
        });
    }

    private Template validated(SubmitJob request) {
        JobSubmission submission = request.submission();
        if (!request.principal().mayActFor(submission.team())) {
            throw TeaselwoodException.of(ErrorKind.FORBIDDEN, "submitting for team " + submission.team());
        }
        if (!state.context().configuration().teams().containsKey(submission.team())) {
            throw TeaselwoodException.of(ErrorKind.UNKNOWN_TEAM, submission.team());
        }
        Template template = state.context().configuration().templates().get(submission.template());
        if (template == null) {
            throw TeaselwoodException.of(ErrorKind.UNKNOWN_TEMPLATE, submission.template());
        }
        if (Outbox.textBytes(submission.parameters()) > MAXIMUM_PARAMETER_BYTES) {
            throw TeaselwoodException.of(ErrorKind.BODY_TOO_LARGE, MAXIMUM_PARAMETER_BYTES);
        }
        template.resolveParameters(submission.parameters());
        return template;
    }

    private void checkLimits(JobSubmission submission) {
        if (state.table().unfinishedCount() >= state.context().timings().maximumJobs()) {
            throw TeaselwoodException.of(ErrorKind.OVERLOADED, "the job table is full");
        }
        Team team = state.context().configuration().teams().get(submission.team());
        boolean full = state.table().unfinishedCount(team.name()) >= team.queueLimit()
                && state.table().queuedCount(team.name()) >= team.queueLimit();
        if (full) {
            throw TeaselwoodException.of(ErrorKind.QUEUE_FULL, team.name(), team.queueLimit());
        }
    }

    private void create(Requester requester, JobSubmission submission, Template template) {
        if (!submission.repeatable() && !state.context().store().reachable()) {
            state.reply(requester, storeUnavailable(submission));
            return;
        }
        String region = state.context().settings().region();
        JobIdentifier identifier = new JobIdentifier(region
                + '-'
                + state.context().self()
                + '-'
                + state.context().settings().incarnation()
                + '-'
                + ++counter);
        Job job = new Job(
                identifier, region, submission, template, state.context().wallClockMilliseconds());
        state.table().add(job);
        if (!job.isPersisted()) {
            job.markAccepted();
            state.jobChanged(job);
            state.reply(requester, new FrontReply.JobReply(job.view()));
            lifecycle.schedule(job);
            return;
        }
        PendingSubmission waiting = new PendingSubmission(job, state.now());
        waiting.requesters.add(requester);
        pending.put(identifier, waiting);
        state.jobChanged(job);
        store.save(job, Optional.empty());
        if (!state.context().store().reachable()) {
            acceptInMemory(waiting);
        }
    }

    private void acceptInMemory(PendingSubmission waiting) {
        if (!waiting.replicationRequested) {
            waiting.replicationRequested = true;
            state.replicator().whenReplicated(waiting.job, () -> {
                if (!waiting.job.accepted() && pending.containsKey(waiting.job.identifier())) {
                    accept(waiting.job);
                }
            });
        }
    }

    private void accept(Job job) {
        job.markAccepted();
        state.jobChanged(job);
        PendingSubmission waiting = pending.remove(job.identifier());
        if (waiting != null) {
            waiting.requesters.forEach(requester -> state.reply(requester, new FrontReply.JobReply(job.view())));
        }
        lifecycle.schedule(job);
    }

    private void joinExisting(Requester requester, JobSubmission submission, Job job) {
        if (!job.matches(submission)) {
            state.reply(requester, Refused.of(ErrorKind.KEY_CONFLICT, submission.requestKey()));
            return;
        }
        PendingSubmission waiting = pending.get(job.identifier());
        if (waiting == null) {
            state.reply(requester, new FrontReply.JobReply(job.view()));
        } else if (!waiting.requesters.contains(requester)) {
            waiting.requesters.add(requester);
        }
    }

    private void joinRecorded(List<Requester> requesters, JobSubmission submission, KeyClaim keyClaim) {
        Optional<Job> known = state.table().find(keyClaim.job());
        if (known.isPresent()) {
            requesters.forEach(requester -> joinExisting(requester, submission, known.get()));
            return;
        }
        String key = JobKeys.record(keyClaim.region(), keyClaim.job());
        state.callStore(requesters, new StoreCall.Get(key), reply -> {
            if (!(reply instanceof StoreReply.Value value)) {
                refuse(requesters, storeUnavailable(submission));
            } else if (value.value().isEmpty()) {
                refuse(requesters, Refused.of(ErrorKind.UNKNOWN_JOB, keyClaim.job()));
            } else {
                KeyValue found = value.value().get();
                recovery.applyRecord(JobKeys.decode(found.value(), JobRecord.class), found.revision());
                recovery.reconcile();
                Job job = state.table().find(keyClaim.job()).orElseThrow();
                requesters.forEach(requester -> joinExisting(requester, submission, job));
            }
        });
    }

    /**
     * Returns the refusal for a store failure. A key given by the caller may belong to an earlier submission that ran.
     */
    private static Refused storeUnavailable(JobSubmission submission) {
        ErrorKind kind = ErrorKind.STORE_UNAVAILABLE;
        return submission.keySuppliedByCaller()
                ? new Refused(
                        kind,
                        kind.message("an earlier submission may have run; retry with the same request key"),
                        Outcome.UNKNOWN)
                : new Refused(
                        kind, kind.message("it is required to accept a job that is not repeatable"), Outcome.NOT_RUN);
    }

    private void refuse(List<Requester> requesters, Refused refusal) {
        List.copyOf(requesters).forEach(requester -> state.reply(requester, refusal));
    }
}
