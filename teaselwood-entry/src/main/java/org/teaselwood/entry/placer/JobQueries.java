package org.teaselwood.entry.placer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.teaselwood.entry.core.Requester;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;
import org.teaselwood.entry.jobs.Job;
import org.teaselwood.entry.jobs.JobKeys;
import org.teaselwood.model.Answer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobIdentifier;
import org.teaselwood.model.JobState;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.EntryMessage.JobRecord;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontReply.Refused;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Principal;

/**
 * Handles requests that read or cancel a job. A job that is not in the table is looked up in the key-value service. A
 * job of a team for which the caller may not act is reported as unknown.
 */
final class JobQueries {
    private final PlacerState state;
    private final JobLifecycle lifecycle;
    private final PolicyDriver policy;

    JobQueries(PlacerState state, JobLifecycle lifecycle, PolicyDriver policy) {
        this.state = state;
        this.lifecycle = lifecycle;
        this.policy = policy;
    }

    void query(Requester requester, FrontRequest.QueryJob request) {
        find(requester, request.principal(), request.job(), job -> replyState(requester, job));
    }

    void waitFor(Requester requester, FrontRequest.WaitForJob request) {
        find(requester, request.principal(), request.job(), job -> {
            boolean due = job.state().isFinal() || !request.untilFinal() && job.version() > request.version();
            if (due || request.timeoutMilliseconds() <= 0) {
                replyState(requester, job);
            } else if (state.waiters().size() >= state.context().timings().maximumWaits()) {
                state.reply(requester, Refused.of(ErrorKind.OVERLOADED, "too many requests are waiting for a job"));
            } else {
                long deadline = state.now() + request.timeoutMilliseconds();
                state.waiters().add(requester, request.job(), request.version(), request.untilFinal(), deadline);
            }
        });
    }

    void cancel(Requester requester, FrontRequest.CancelJob request) {
        find(requester, request.principal(), request.job(), job -> {
            lifecycle.cancel(job);
            replyState(requester, job);
        });
    }

    void explain(Requester requester, FrontRequest.ExplainJob request) {
        find(requester, request.principal(), request.job(), job -> {
            List<String> lines = new ArrayList<>();
            lines.add("state " + job.view().state() + ", outcome " + job.view().outcome());
            state.attemptOf(job)
                    .ifPresent(attempt -> attempt.parts()
                            .forEach(part ->
                                    lines.add("part " + part.index() + " on " + part.server() + ": " + part.phase())));
            if (!job.repeatable() && !state.context().store().reachable()) {
                lines.add("not repeatable: cannot start while the key-value service is unreachable");
            }
            lines.addAll(policy.scheduler().explain(job.identifier(), state.now()));
            state.reply(requester, new FrontReply.ExplainReply(List.copyOf(lines)));
        });
    }

    void answer(Requester requester, FrontRequest.FetchAnswer request) {
        find(requester, request.principal(), request.job(), job -> {
            if (!job.state().isFinal()) {
                state.reply(requester, Refused.of(ErrorKind.NOT_FINISHED, job.identifier()));
            } else if (job.state() != JobState.SUCCEEDED) {
                state.reply(requester, refusalOf(job));
            } else {
                Optional<Answer> known = state.table().answer(job.identifier());
                known.ifPresentOrElse(answer -> replyAnswer(requester, job, answer), () -> readAnswer(requester, job));
            }
        });
    }

    /** Replies with the current state to the callers whose wait timed out. */
    void tick() {
        state.waiters()
                .tick(
                        state.now(),
                        (requester, identifier) -> state.table()
                                .find(identifier)
                                .ifPresentOrElse(
                                        job -> replyState(requester, job),
                                        () -> state.reply(requester, Refused.of(ErrorKind.UNKNOWN_JOB, identifier))));
    }

    /** Refuses all waiting requests, so that the callers retry with the next placer. */
    void end() {
        state.waiters().drain(requester -> state.reply(requester, Refused.of(ErrorKind.NO_PLACER)));
    }

    private void find(Requester requester, Principal principal, JobIdentifier identifier, Consumer<Job> action) {
        Optional<Job> known = state.table().find(identifier).filter(Job::accepted);
        if (known.isPresent()) {
            runIfPermitted(requester, principal, known.get(), action);
            return;
        }
        String key = JobKeys.record(state.context().settings().region(), identifier);
        state.callStore(List.of(requester), new StoreCall.Get(key), reply -> {
            Optional<Job> job = state.table().find(identifier).filter(Job::accepted);
            if (job.isPresent()) {
                runIfPermitted(requester, principal, job.get(), action);
            } else if (!(reply instanceof StoreReply.Value value)) {
                state.reply(requester, Refused.of(ErrorKind.STORE_UNAVAILABLE, "cannot read the job record"));
            } else if (value.value().isEmpty()) {
                state.reply(requester, Refused.of(ErrorKind.UNKNOWN_JOB, identifier));
            } else {
                JobRecord record = JobKeys.decode(value.value().get().value(), JobRecord.class);
                Job loaded = Job.of(record);
                loaded.markStored(record.version(), value.value().get().revision());
                if (loaded.state().isFinal()) {
                    state.table().add(loaded);
                }
                runIfPermitted(requester, principal, loaded, action);
            }
        });
    }

    private void runIfPermitted(Requester requester, Principal principal, Job job, Consumer<Job> action) {
        if (principal.mayActFor(job.team())) {
            action.accept(job);
        } else {
            state.reply(requester, Refused.of(ErrorKind.UNKNOWN_JOB, job.identifier()));
        }
    }

    private void replyState(Requester requester, Job job) {
        state.reply(requester, new FrontReply.JobReply(job.view()));
    }

    private void readAnswer(Requester requester, Job job) {
        if (!job.isPersisted()) {
            state.reply(requester, Refused.of(ErrorKind.UNKNOWN_JOB, job.identifier()));
            return;
        }
        String key = JobKeys.answer(state.context().settings().region(), job.identifier());
        state.callStore(List.of(requester), new StoreCall.Get(key), reply -> {
            if (!(reply instanceof StoreReply.Value value)) {
                state.reply(requester, Refused.of(ErrorKind.STORE_UNAVAILABLE, "cannot read the answer of the job"));
                return;
            }
            byte[] content = value.value().map(found -> found.value()).orElse(new byte[0]);
            try {
                Answer answer = Answer.verified(content, job.answerLength(), job.answerChecksum());
                replyAnswer(requester, job, answer);
            } catch (TeaselwoodException exception) {
                state.reply(requester, Refused.of(exception));
            }
        });
    }

    private void replyAnswer(Requester requester, Job job, Answer answer) {
        state.reply(requester, new FrontReply.AnswerReply(job.view(), answer.content()));
    }

    private static Refused refusalOf(Job job) {
        ErrorKind kind = Arrays.stream(ErrorKind.values())
                .filter(candidate -> candidate.code().equals(job.view().errorKind()))
                .findFirst()
                .orElse(ErrorKind.INTERNAL);
        return new Refused(kind, job.view().message(), job.view().outcome());
    }
}
