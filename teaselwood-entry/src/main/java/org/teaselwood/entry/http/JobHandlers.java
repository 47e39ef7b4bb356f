package org.teaselwood.entry.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.teaselwood.model.Answer;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.FrontReply.AnswerReply;
import org.teaselwood.protocol.message.FrontReply.ExplainReply;
import org.teaselwood.protocol.message.FrontReply.JobReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.JobView;
import org.teaselwood.protocol.message.Principal;

/** Handlers of job requests. Immutable and thread-safe. */
final class JobHandlers {
    /** Header with the length of the complete answer in bytes. */
    static final String LENGTH_HEADER = "Teaselwood-Answer-Length";

    /** Header with the CRC-32C of the complete answer as eight hexadecimal digits. */
    static final String CHECKSUM_HEADER = "Teaselwood-Answer-Crc32c";

    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;
    private static final long DEFAULT_WAIT_MILLISECONDS = 30_000;
    private static final long MAXIMUM_WAIT_MILLISECONDS = 60_000;

    private final RequestHandlers requests;

    JobHandlers(RequestHandlers requests) {
        this.requests = requests;
    }

    void submit(RoutingContext context) {
        Principal principal = RequestHandlers.principal(context);
        JobSubmission submission =
                JobJson.submissionOf(JsonFields.of(context.body().buffer()), principal);
        if (!principal.mayActFor(submission.team())) {
            throw TeaselwoodException.of(ErrorKind.FORBIDDEN, "the token belongs to another team");
        }
        requests.send(context, new FrontRequest.SubmitJob(principal, submission), reply -> {
            if (!(reply instanceof JobReply accepted)) {
                throw RequestHandlers.unexpected(reply);
            }
            JobView view = accepted.job();
            context.response().putHeader(HttpHeaders.LOCATION, "/v1/jobs/" + view.job());
            RequestHandlers.json(context, view.state().isFinal() ? STATUS_OK : STATUS_ACCEPTED, JobJson.of(view));
        });
    }

    void query(RoutingContext context) {
        answerJob(
                context,
                new FrontRequest.QueryJob(RequestHandlers.principal(context), RequestHandlers.job(context)),
                requests.timeoutMilliseconds());
    }

    /** Answers a long poll when the job is newer than the given version or final, or when the timeout expires. */
    void waitFor(RoutingContext context) {
        long timeout = RequestHandlers.queryNumber(
                context, "timeoutMilliseconds", DEFAULT_WAIT_MILLISECONDS, 0, MAXIMUM_WAIT_MILLISECONDS);
        long version = RequestHandlers.queryNumber(context, "version", -1, -1, Long.MAX_VALUE);
        FrontRequest request = new FrontRequest.WaitForJob(
                RequestHandlers.principal(context),
                RequestHandlers.job(context),
                version,
                untilFinal(context),
                timeout);
        answerJob(context, request, timeout + requests.timeoutMilliseconds());
    }

    void cancel(RoutingContext context) {
        answerJob(
                context,
                new FrontRequest.CancelJob(RequestHandlers.principal(context), RequestHandlers.job(context)),
                requests.timeoutMilliseconds());
    }

    /** Answers with the complete answer of a job; verifies length and checksum first, so that damage is reported. */
    void answer(RoutingContext context) {
        FrontRequest request =
                new FrontRequest.FetchAnswer(RequestHandlers.principal(context), RequestHandlers.job(context));
        requests.send(context, request, reply -> {
            if (!(reply instanceof AnswerReply answerReply)) {
                throw RequestHandlers.unexpected(reply);
            }
            JobView view = answerReply.job();
            Answer answer = Answer.verified(answerReply.content(), view.answerLength(), view.answerChecksum());
            context.response()
                    .putHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream")
                    .putHeader(HttpHeaders.CACHE_CONTROL, "no-store")
                    .putHeader(LENGTH_HEADER, Integer.toString(answer.length()))
                    .putHeader(CHECKSUM_HEADER, JobJson.checksum(answer.checksum()))
                    .end(Buffer.buffer(answerReply.content()));
        });
    }

    void explain(RoutingContext context) {
        FrontRequest request =
                new FrontRequest.ExplainJob(RequestHandlers.principal(context), RequestHandlers.job(context));
        requests.send(context, request, reply -> {
            if (!(reply instanceof ExplainReply explanation)) {
                throw RequestHandlers.unexpected(reply);
            }
            RequestHandlers.json(context, STATUS_OK, new JsonObject().put("lines", new JsonArray(explanation.lines())));
        });
    }

    private void answerJob(RoutingContext context, FrontRequest request, long timeout) {
        requests.send(context, request, timeout, reply -> {
            if (!(reply instanceof JobReply job)) {
                throw RequestHandlers.unexpected(reply);
            }
            RequestHandlers.json(context, STATUS_OK, JobJson.of(job.job()));
        });
    }

    private static boolean untilFinal(RoutingContext context) {
        String until = context.request().getParam("until", "final");
        return switch (until) {
            case "final" -> true;
            case "change" -> false;
            default -> throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "until must be final or change");
        };
    }
}
