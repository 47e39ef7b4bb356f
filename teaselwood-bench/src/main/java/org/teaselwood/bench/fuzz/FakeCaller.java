package org.teaselwood.bench.fuzz;

import java.util.List;
import java.util.Optional;
import org.teaselwood.model.ErrorAnswer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.Outcome;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;
import org.teaselwood.protocol.message.Principal;

/**
 * A caller with one submission: submits, waits and fetches the answer. Resubmits with the same request key, possibly to
 * another entry, if it receives no reply in time. Confined to the thread of its virtual time.
 */
final class FakeCaller {
    private static final long REPLY_TIMEOUT_MILLISECONDS = 5_000;
    private static final long WAIT_MILLISECONDS = 20_000;
    private static final long RETRY_MILLISECONDS = 500;

    private final SimulatedCluster cluster;
    private final Submission submission;
    private final Principal principal;
    private String region;
    private int unansweredSubmissions;
    /** Number of accepted submissions whose job is no longer known to the entries; they may have run. */
    private int forgottenSubmissions;

    private Optional<JobIdentifier> job = Optional.empty();
    private Outcome outcome = Outcome.PENDING;
    private boolean cancelled;
    private boolean answered;
    private int generation;
    private String explanation = "";

    FakeCaller(SimulatedCluster cluster, Submission submission, String region) {
        this.cluster = cluster;
        this.region = region;
        this.submission = submission;
        this.principal = new Principal(submission.team(), false);
    }

    void start() {
        submit();
    }

    Submission submission() {
        return submission;
    }

    /** Returns whether the caller knows the final outcome and, if the job succeeded, has received its answer. */
    boolean isDone() {
        return outcome != Outcome.PENDING && (outcome != Outcome.SUCCEEDED || answered);
    }

    Outcome outcome() {
        return outcome;
    }

    /** Cancels the job if its identifier is known. */
    void cancel() {
        job.ifPresent(identifier -> {
            cancelled = true;
            sendRequest(new FrontRequest.CancelJob(principal, identifier), false, REPLY_TIMEOUT_MILLISECONDS);
        });
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Resubmits with the same request key, like a caller that lost its connection. */
    void repeat() {
        if (!isDone()) {
            submit();
        }
    }

    /** Requests an explanation of the job's state, for the report of a job that never ends. */
    void explain() {
        List<FakeEntry> entries = cluster.readyEntries(region);
        if (job.isPresent() && !entries.isEmpty()) {
            entries.getFirst()
                    .sendRequest(
                            new FrontRequest.ExplainJob(principal, job.get()), reply -> explanation = reply.toString());
        }
    }

    String explanation() {
        return explanation;
    }

    private void submit() {
        cluster.oracle().submissionSent(submission);
        unansweredSubmissions++;
        sendRequest(
                new FrontRequest.SubmitJob(principal, submission.toJobSubmission()), true, REPLY_TIMEOUT_MILLISECONDS);
    }

    private void sendNextRequest() {
        if (isDone()) {
            return;
        }
        if (job.isEmpty()) {
            submit();
        } else if (outcome == Outcome.SUCCEEDED) {
            sendRequest(new FrontRequest.FetchAnswer(principal, job.get()), false, REPLY_TIMEOUT_MILLISECONDS);
        } else {
            sendRequest(
                    new FrontRequest.WaitForJob(principal, job.get(), -1, true, WAIT_MILLISECONDS),
                    false,
                    WAIT_MILLISECONDS + REPLY_TIMEOUT_MILLISECONDS);
        }
    }

    private void sendRequest(FrontRequest request, boolean isSubmission, long timeoutMilliseconds) {
        List<FakeEntry> entries = cluster.readyEntries(region);
        if (entries.isEmpty()) {
            if (isSubmission) {
                unansweredSubmissions--;
            }
            scheduleRetry();
            return;
        }
        FakeEntry entry = entries.get(cluster.random().nextInt(entries.size()));
        int requestGeneration = ++generation;
        cluster.trace(
                submission.identity(),
                "asks " + entry.address().entry() + " " + request.getClass().getSimpleName());
        long token = entry.sendRequest(request, reply -> handleReply(reply, isSubmission, requestGeneration));
        cluster.time().schedule(timeoutMilliseconds, () -> {
            if (entry.isPending(token)) {
                if (entry.isShuttingDown() && !entry.node().isDead() && !cluster.hadFaultWithin(timeoutMilliseconds)) {
                    cluster.oracle()
                            .report(
                                    "P7",
                                    cluster.time().nowMilliseconds(),
                                    "an entry in graceful shutdown did not answer " + request);
                }
                entry.abandon(token);
                if (requestGeneration == generation) {
                    sendNextRequest();
                }
            }
        });
    }

    private void handleReply(FrontReply reply, boolean isSubmission, int requestGeneration) {
        // toString() of an answer includes the identity of its array, which differs between runs.
        Object shown = reply instanceof FrontReply.AnswerReply answer ? answer.job() : reply;
        cluster.trace(submission.identity(), "gets " + shown);
        if (isSubmission) {
            unansweredSubmissions--;
        }
        if (isDone()) {
            return;
        }
        switch (reply) {
            case FrontReply.JobReply view -> updateJob(view.job());
            case FrontReply.AnswerReply answer -> {
                answered = true;
                cluster.oracle()
                        .answerReceived(
                                submission, answer.content(), cluster.time().nowMilliseconds());
            }
            case FrontReply.Refused refused -> handleRefusal(refused, isSubmission);
            default -> cluster.oracle().report("P3", cluster.time().nowMilliseconds(), "unexpected reply " + reply);
        }
        if (!isDone() && requestGeneration == generation) {
            scheduleRetry();
        }
    }

    private void updateJob(JobView view) {
        if (!view.requestKey().equals(submission.requestKey()) || !view.team().equals(submission.team())) {
            cluster.oracle()
                    .report(
                            "P3",
                            cluster.time().nowMilliseconds(),
                            submission.identity() + " received the job of another request: " + view.job());
            return;
        }
        job = Optional.of(view.job());
        if (view.state().isFinal()) {
            finish(view.outcome());
            checkCancellation(view);
        }
    }

    private void checkCancellation(JobView view) {
        if (view.state() == JobState.CANCELLED && !cluster.isCancelled(submission)) {
            cluster.oracle()
                    .report(
                            "P3",
                            cluster.time().nowMilliseconds(),
                            submission.identity() + " is reported as cancelled, but was not cancelled");
        }
    }

    /** Returns whether no other submission of this request key can have run. */
    private boolean isOnlySubmission() {
        return unansweredSubmissions == 0 && forgottenSubmissions == 0 && !submission.inBothRegions();
    }

    private void handleRefusal(FrontReply.Refused refused, boolean isSubmission) {
        if (refused.kind() == ErrorKind.OTHER_REGION) {
            region = region.equals(SimulatedCluster.REGION) ? SimulatedCluster.SECOND_REGION : SimulatedCluster.REGION;
        }
        if (isSubmission && refused.outcome() == Outcome.NOT_RUN) {
            cluster.oracle()
                    .reportedNotRun(
                            submission, isOnlySubmission(), cluster.time().nowMilliseconds());
        }
        if (!ErrorAnswer.of(refused.kind()).retryable() && isSubmission) {
            finish(refused.outcome());
        } else if (!isSubmission && !ErrorAnswer.of(refused.kind()).retryable()) {
            // The job is no longer known, for example because it was kept only in memory during a store outage.
            forgottenSubmissions++;
            job = Optional.empty();
            outcome = Outcome.PENDING;
        }
    }

    private void finish(Outcome result) {
        outcome = result;
        if (result == Outcome.NOT_RUN) {
            cluster.oracle()
                    .reportedNotRun(
                            submission, isOnlySubmission(), cluster.time().nowMilliseconds());
        }
    }

    private void scheduleRetry() {
        int requestGeneration = generation;
        cluster.time().schedule(RETRY_MILLISECONDS, () -> {
            if (requestGeneration == generation) {
                sendNextRequest();
            }
        });
    }
}
