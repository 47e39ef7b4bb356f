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

    private final World world;
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

    FakeCaller(World world, Submission submission, String region) {
        this.world = world;
        this.region = region;
        this.submission = submission;
        this.principal = new Principal(submission.team(), false);
    }

    void begin() {
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
            ask(new FrontRequest.CancelJob(principal, identifier), false, REPLY_TIMEOUT_MILLISECONDS);
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
        List<FakeEntry> entries = world.readyEntries(region);
        if (job.isPresent() && !entries.isEmpty()) {
            entries.getFirst()
                    .ask(new FrontRequest.ExplainJob(principal, job.get()), reply -> explanation = reply.toString());
        }
    }

    String explanation() {
        return explanation;
    }

    private void submit() {
        world.oracle().submissionSent(submission);
        unansweredSubmissions++;
        ask(new FrontRequest.SubmitJob(principal, submission.toJobSubmission()), true, REPLY_TIMEOUT_MILLISECONDS);
    }

    private void proceed() {
        if (isDone()) {
            return;
        }
        if (job.isEmpty()) {
            submit();
        } else if (outcome == Outcome.SUCCEEDED) {
            ask(new FrontRequest.FetchAnswer(principal, job.get()), false, REPLY_TIMEOUT_MILLISECONDS);
        } else {
            ask(
                    new FrontRequest.WaitForJob(principal, job.get(), -1, true, WAIT_MILLISECONDS),
                    false,
                    WAIT_MILLISECONDS + REPLY_TIMEOUT_MILLISECONDS);
        }
    }

    private void ask(FrontRequest request, boolean submits, long timeoutMilliseconds) {
        List<FakeEntry> entries = world.readyEntries(region);
        if (entries.isEmpty()) {
            if (submits) {
                unansweredSubmissions--;
            }
            retryLater();
            return;
        }
        FakeEntry entry = entries.get(world.random().nextInt(entries.size()));
        int asked = ++generation;
        world.trace(
                submission.identity(),
                "asks " + entry.address().entry() + " " + request.getClass().getSimpleName());
        long token = entry.ask(request, reply -> replied(reply, submits, asked));
        world.time().schedule(timeoutMilliseconds, () -> {
            if (entry.isOpen(token)) {
                if (entry.isLeaving() && !entry.node().isDead() && !world.disturbedSince(timeoutMilliseconds)) {
                    world.oracle()
                            .report(
                                    "P7",
                                    world.time().nowMilliseconds(),
                                    "an entry in graceful shutdown did not answer " + request);
                }
                entry.abandon(token);
                if (asked == generation) {
                    proceed();
                }
            }
        });
    }

    private void replied(FrontReply reply, boolean submits, int asked) {
        // toString() of an answer includes the identity of its array, which differs between runs.
        Object shown = reply instanceof FrontReply.AnswerReply answer ? answer.job() : reply;
        world.trace(submission.identity(), "gets " + shown);
        if (submits) {
            unansweredSubmissions--;
        }
        if (isDone()) {
            return;
        }
        switch (reply) {
            case FrontReply.JobReply view -> learned(view.job());
            case FrontReply.AnswerReply answer -> {
                answered = true;
                world.oracle()
                        .answerReceived(
                                submission, answer.content(), world.time().nowMilliseconds());
            }
            case FrontReply.Refused refused -> refused(refused, submits);
            default -> world.oracle().report("P3", world.time().nowMilliseconds(), "unexpected reply " + reply);
        }
        if (!isDone() && asked == generation) {
            retryLater();
        }
    }

    private void learned(JobView view) {
        if (!view.requestKey().equals(submission.requestKey()) || !view.team().equals(submission.team())) {
            world.oracle()
                    .report(
                            "P3",
                            world.time().nowMilliseconds(),
                            submission.identity() + " received the job of another request: " + view.job());
            return;
        }
        job = Optional.of(view.job());
        if (view.state().isFinal()) {
            finish(view.outcome());
            checkCancelled(view);
        }
    }

    private void checkCancelled(JobView view) {
        if (view.state() == JobState.CANCELLED && !world.isCancelled(submission)) {
            world.oracle()
                    .report(
                            "P3",
                            world.time().nowMilliseconds(),
                            submission.identity() + " is reported as cancelled, but was not cancelled");
        }
    }

    /** Returns whether no other submission of this request key can have run. */
    private boolean isOnlySubmission() {
        return unansweredSubmissions == 0 && forgottenSubmissions == 0 && !submission.inBothRegions();
    }

    private void refused(FrontReply.Refused refused, boolean submits) {
        if (refused.kind() == ErrorKind.OTHER_REGION) {
            region = region.equals(World.REGION) ? World.SECOND_REGION : World.REGION;
        }
        if (submits && refused.outcome() == Outcome.NOT_RUN) {
            world.oracle()
                    .toldNotRun(submission, isOnlySubmission(), world.time().nowMilliseconds());
        }
        if (!ErrorAnswer.of(refused.kind()).retryable() && submits) {
            finish(refused.outcome());
        } else if (!submits && !ErrorAnswer.of(refused.kind()).retryable()) {
            // The job is no longer known, for example because it was kept only in memory during a store outage.
            forgottenSubmissions++;
            job = Optional.empty();
            outcome = Outcome.PENDING;
        }
    }

    private void finish(Outcome result) {
        outcome = result;
        if (result == Outcome.NOT_RUN) {
            world.oracle()
                    .toldNotRun(submission, isOnlySubmission(), world.time().nowMilliseconds());
        }
    }

    private void retryLater() {
        int asked = generation;
        world.time().schedule(RETRY_MILLISECONDS, () -> {
            if (asked == generation) {
                proceed();
            }
        });
    }
}
