package org.teaselwood.cli.demo;

import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.model.Answer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.TeaselwoodException;

/** Submits one job, waits for its final state, and compares its answer with the expected one. Not thread-safe. */
final class DemoJob {
    private static final long POLL_TIMEOUT_MILLISECONDS = 2_000;
    private static final long JOB_TIMEOUT_MILLISECONDS = 60_000;

    private final EntryClient client;
    private final JobSubmission submission;
    private final Answer expected;
    private final Consumer<String> progress;

    /**
     * Result of a demo job.
     *
     * @param correct whether the answer is complete and equal to the expected one
     * @param completionMilliseconds time from submission to the final state
     */
    record Result(String template, boolean correct, long completionMilliseconds, String detail) {}

    DemoJob(EntryClient client, JobSubmission submission, Configuration configuration, Consumer<String> progress) {
        this.client = client;
        this.submission = submission;
        this.expected = ExpectedAnswers.of(submission, configuration.templates().get(submission.template()));
        this.progress = progress;
    }

    Result run() {
        long startNanoseconds = System.nanoTime();
        JsonObject state = client.submit(submission);
        String job = state.getString("job");
        String lastReported = "";
        while (!state.getBoolean("final") && millisecondsSince(startNanoseconds) < JOB_TIMEOUT_MILLISECONDS) {
            lastReported = reportProgress(state, lastReported);
            state = client.waitForChange(job, state.getLong("version"), POLL_TIMEOUT_MILLISECONDS);
        }
        reportProgress(state, lastReported);
        if (!"succeeded".equals(state.getString("state"))) {
            return result(
                    false,
                    startNanoseconds,
                    "ended as " + state.getString("state") + ": " + state.getString("message"));
        }
        return verify(job, state.getLong("finishedMilliseconds") - state.getLong("submittedMilliseconds"));
    }

    private Result verify(String job, long completionMilliseconds) {
        try {
            Answer answer = client.answer(job);
            boolean correct = answer.equals(expected);
            String detail =
                    correct ? answer.length() + " bytes, as expected" : "the answer differs from the expected one";
            return new Result(submission.template(), correct, completionMilliseconds, detail);
        } catch (TeaselwoodException exception) {
            return new Result(submission.template(), false, completionMilliseconds, exception.getMessage());
        }
    }

    private Result result(boolean correct, long startNanoseconds, String detail) {
        return new Result(submission.template(), correct, millisecondsSince(startNanoseconds), detail);
    }

    private String reportProgress(JsonObject state, String lastReported) {
        String text = state.getString("state") + " " + state.getInteger("progressPercent") + " %";
        if (!text.equals(lastReported)) {
            progress.accept(submission.template() + ": " + text);
        }
        return text;
    }

    private static long millisecondsSince(long startNanoseconds) {
        return (System.nanoTime() - startNanoseconds) / 1_000_000;
    }
}
