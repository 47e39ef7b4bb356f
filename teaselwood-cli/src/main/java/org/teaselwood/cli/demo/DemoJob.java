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
    private static final long CHANGE_MILLISECONDS = 2_000;
    private static final long LONGEST_MILLISECONDS = 60_000;

    private final EntryClient client;
    private final JobSubmission submission;
    private final Answer expected;
    private final Consumer<String> progress;

    /**
     * Result of a demo job.
     *
     * @param right whether the answer is complete and equal to the expected one
     * @param completionMilliseconds time from submission to the final state
     */
    record Result(String template, boolean right, long completionMilliseconds, String detail) {}

    DemoJob(EntryClient client, JobSubmission submission, Configuration configuration, Consumer<String> progress) {
        this.client = client;
        this.submission = submission;
        this.expected = ExpectedAnswers.of(submission, configuration.templates().get(submission.template()));
        this.progress = progress;
    }

    Result run() {
        long begin = System.nanoTime();
        JsonObject state = client.submit(submission);
        String job = state.getString("job");
        String shown = "";
        while (!state.getBoolean("final") && millisecondsSince(begin) < LONGEST_MILLISECONDS) {
            shown = show(state, shown);
            state = client.waitForChange(job, state.getLong("version"), CHANGE_MILLISECONDS);
        }
        show(state, shown);
        if (!"succeeded".equals(state.getString("state"))) {
            return result(false, begin, "ended as " + state.getString("state") + ": " + state.getString("message"));
        }
        return verify(job, state.getLong("finishedMilliseconds") - state.getLong("submittedMilliseconds"));
    }

    private Result verify(String job, long completionMilliseconds) {
        try {
            Answer answer = client.answer(job);
            boolean right = answer.equals(expected);
            String detail =
                    right ? answer.length() + " bytes, as expected" : "the answer differs from the expected one";
            return new Result(submission.template(), right, completionMilliseconds, detail);
        } catch (TeaselwoodException exception) {
            return new Result(submission.template(), false, completionMilliseconds, exception.getMessage());
        }
    }

    private Result result(boolean right, long begin, String detail) {
        return new Result(submission.template(), right, millisecondsSince(begin), detail);
    }

    private String show(JsonObject state, String shown) {
        String text = state.getString("state") + " " + state.getInteger("progressPercent") + " %";
        if (!text.equals(shown)) {
            progress.accept(submission.template() + ": " + text);
        }
        return text;
    }

    private static long millisecondsSince(long begin) {
        return (System.nanoTime() - begin) / 1_000_000;
    }
}
