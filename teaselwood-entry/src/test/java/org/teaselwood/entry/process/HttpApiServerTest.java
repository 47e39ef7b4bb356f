package org.teaselwood.entry.process;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.entry.http.HttpSettings;
import org.teaselwood.entry.http.Tokens;
import org.teaselwood.model.Answer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.JobState;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;

/** Guards against responses that are truncated, damaged or missing, and errors without their status and error kind. */
class HttpApiServerTest {
    private static final byte[] CONTENT = "winding rota".getBytes(StandardCharsets.UTF_8);
    private static final String SUBMISSION = "{\"team\":\"winding\",\"template\":\"winding-plan\"}";

    private final AtomicLong versions = new AtomicLong();
    private final HttpClient client = HttpClient.newHttpClient();
    private Vertx vertx;
    private EntryProcess process;
    private ScriptedCore core;

    @BeforeEach
    void start() throws Exception {
        vertx = Vertx.vertx();
        Tokens tokens = new Tokens(Map.of("winding", "w-token", "drift", "d-token"), Optional.of("o-token"));
        ProcessSettings settings = new ProcessSettings(
                "entry-1",
                "trinidad",
                "arima",
                new InternalSettings("127.0.0.1", 0, SharedKey.withoutSecret(), Optional.empty()),
                new HttpSettings("127.0.0.1", 0, 4_096, 500, Optional.empty(), tokens),
                Duration.ofMillis(100),
                Duration.ofMillis(100));
        process = EntryProcess.start(vertx, settings, new UnavailableStore(), (self, registered, effects) -> {
                    core = new ScriptedCore(effects, this::replyTo);
                    return core;
                })
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        process.closeNow();
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "w-token | POST | /v1/jobs | {\"team\": | 400 | bad-request",
                "w-token | POST | /v1/jobs | [1] | 400 | bad-request",
                "w-token | POST | /v1/jobs | {\"team\":\"winding\"} | 400 | bad-request",
                "w-token | POST | /v1/jobs | {\"team\":7,\"template\":\"a\"} | 400 | bad-request",
                "w-token | POST | /v1/jobs | {\"team\":\"a\",\"template\":\"a\",\"urgnt\":true} | 400 | bad-request",
                "w-token | POST | /v1/jobs | {\"team\":\"drift\",\"template\":\"a\"} | 403 | forbidden",
                "o-token | POST | /v1/jobs | {\"team\":\"nobody\",\"template\":\"a\"} | 404 | unknown-team",
                "w-token | POST | /v1/jobs | {\"team\":\"winding\",\"template\":\"nothing\"} | 404 | unknown-template",
                "none | POST | /v1/jobs | {\"team\":\"winding\",\"template\":\"a\"} | 401 | unauthenticated",
                "wrong | GET | /v1/jobs/j-1 | '' | 401 | unauthenticated",
                "d-token | GET | /v1/jobs/j-1 | '' | 404 | unknown-job",
                "d-token | GET | /v1/jobs/j-1/answer | '' | 404 | unknown-job",
                "d-token | POST | /v1/jobs/j-1/cancel | '' | 404 | unknown-job",
                "w-token | GET | /v1/jobs/j-1/wait?timeoutMilliseconds=x | '' | 400 | bad-request",
                "w-token | GET | /v1/jobs/j-1/wait?until=never | '' | 400 | bad-request",
                "w-token | GET | /v1/region | '' | 403 | forbidden",
                "w-token | GET | /metrics | '' | 403 | forbidden",
                "none | GET | /status | '' | 401 | unauthenticated",
                "o-token | POST | /v1/configuration | {\"identifier\":\"c\"} | 400 | bad-request",
                "w-token | GET | /v1/nothing | '' | 404 | bad-request",
                "w-token | DELETE | /v1/jobs/j-1 | '' | 405 | bad-request"
            })
    void every_bad_request_is_refused_with_its_error_kind(
            String token, String method, String path, String body, int status, String kind) throws Exception {
        HttpResponse<String> response = send(token, method, path, body);

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("content-type")).hasValue("application/problem+json");
        assertThat(new JsonObject(response.body()).getString("errorKind")).isEqualTo(kind);
    }

    @Test
    void an_oversize_header_is_refused_with_a_problem_document() throws Exception {
        HttpResponse<String> response = send("w".repeat(20_000), "GET", "/v1/jobs/j-1", "");

        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(new JsonObject(response.body()).getString("errorKind")).isEqualTo("bad-request");
    }

    @Test
    void an_oversize_body_is_refused_before_it_reaches_the_core() throws Exception {
        HttpResponse<String> response = send("w-token", "POST", "/v1/jobs", "{\"team\":\"" + "a".repeat(9_000) + "\"}");

        assertThat(response.statusCode()).isEqualTo(413);
        JsonObject problem = new JsonObject(response.body());
        assertThat(problem.getString("errorKind")).isEqualTo("body-too-large");
        assertThat(problem.getString("detail")).isEqualTo(ErrorKind.BODY_TOO_LARGE.message(4_096));
        assertThat(core.eventsOf(EntryEvent.RequestReceived.class)).isEmpty();
    }

    @Test
    void an_accepted_submission_returns_the_location_of_its_job() throws Exception {
        HttpResponse<String> response = send("w-token", "POST", "/v1/jobs", SUBMISSION);

        assertThat(response.statusCode()).isEqualTo(202);
        assertThat(response.headers().firstValue("location")).hasValue("/v1/jobs/j-1");
        assertThat(new JsonObject(response.body()).getString("state")).isEqualTo("queued");
    }

    @Test
    void an_answer_carries_its_length_and_checksum() throws Exception {
        HttpResponse<String> response = send("w-token", "GET", "/v1/jobs/j-1/answer", "");

        assertThat(response.body()).isEqualTo("winding rota");
        assertThat(response.headers().firstValue("teaselwood-answer-length")).hasValue("12");
        assertThat(response.headers().firstValue("teaselwood-answer-crc32c"))
                .hasValue(String.format("%08x", Answer.of(CONTENT).checksum()));
    }

    @Test
    void a_damaged_answer_is_refused_instead_of_sent() throws Exception {
        HttpResponse<String> response = send("w-token", "GET", "/v1/jobs/j-damaged/answer", "");

        assertThat(response.statusCode()).isEqualTo(500);
        assertThat(new JsonObject(response.body()).getString("errorKind")).isEqualTo("answer-damaged");
    }

    @Test
    void a_timeout_reports_an_unknown_outcome_and_notifies_the_core() throws Exception {
        HttpResponse<String> response = send("w-token", "GET", "/v1/jobs/j-unanswered", "");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(new JsonObject(response.body()).getString("outcome")).isEqualTo("unknown");
        assertThat(core.eventsOf(EntryEvent.RequestAbandoned.class)).hasSize(1);
    }

    @Test
    void progress_is_streamed_until_the_final_state() throws Exception {
        HttpResponse<String> response = send("w-token", "GET", "/v1/jobs/j-1/progress", "");

        assertThat(response.headers().firstValue("content-type")).hasValue("text/event-stream");
        assertThat(response.body().split("event: job")).hasLength(4);
        assertThat(response.body()).contains("\"state\":\"succeeded\"");
    }

    @Test
    void shutdown_fails_readiness_first_and_completes_an_open_wait() throws Exception {
        CompletableFuture<HttpResponse<String>> open =
                client.sendAsync(request("w-token", "GET", "/v1/jobs/j-late/wait", ""), BodyHandlers.ofString());
        while (core.eventsOf(EntryEvent.RequestReceived.class).isEmpty()) {
            Thread.sleep(5);
        }
        Future<Void> stopped = process.shutdown();

        assertThat(send("none", "GET", "/readyz", "").statusCode()).isEqualTo(503);
        assertThat(send("none", "GET", "/healthz", "").statusCode()).isEqualTo(200);
        while (core.eventsOf(EntryEvent.ShutdownRequested.class).isEmpty()) {
            Thread.sleep(5);
        }
        core.effects.reply(
                core.eventsOf(EntryEvent.RequestReceived.class).getFirst().token(),
                new FrontReply.JobReply(ScriptedCore.view("j-late", JobState.RUNNING, 1, -1, 0)));
        HttpResponse<String> response = open.get(5, TimeUnit.SECONDS);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("connection")).hasValue("close");
        stopped.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void metrics_report_request_times_by_team_and_class() throws Exception {
        send("w-token", "POST", "/v1/jobs", SUBMISSION);
        core.effects.recordDuration("waiting", "winding", 700);

        String text = send("o-token", "GET", "/metrics", "").body();

        assertThat(text).contains("teaselwood_request_seconds_count{class=\"submit\",team=\"winding\"} 1");
        assertThat(text).contains("teaselwood_waiting_seconds_bucket{class=\"all\",team=\"winding\",le=\"1.0\"} 1");
    }

    private FrontReply replyTo(FrontRequest request) {
        Answer answer = Answer.of(CONTENT);
        return switch (request) {
            case FrontRequest.SubmitJob submit
            when submit.submission().team().equals("nobody") -> FrontReply.Refused.of(ErrorKind.UNKNOWN_TEAM, "nobody");
            case FrontRequest.SubmitJob submit
            when !submit.submission().template().equals("winding-plan") ->
                FrontReply.Refused.of(ErrorKind.UNKNOWN_TEMPLATE, "nothing");
            case FrontRequest.SubmitJob ignored -> job("j-1", JobState.QUEUED);
            case FrontRequest.QueryJob query when query.principal().team().equals("drift") -> unknown();
            case FrontRequest.QueryJob query when query.job().value().equals("j-unanswered") -> null;
            case FrontRequest.QueryJob query -> job(query.job().value(), JobState.QUEUED);
            case FrontRequest.FetchAnswer fetch when fetch.principal().team().equals("drift") -> unknown();
            case FrontRequest.FetchAnswer fetch
            when fetch.job().value().equals("j-damaged") ->
                new FrontReply.AnswerReply(
                        ScriptedCore.view("j-damaged", JobState.SUCCEEDED, 3, 99, answer.checksum()), CONTENT);
            case FrontRequest.FetchAnswer ignored ->
                new FrontReply.AnswerReply(
                        ScriptedCore.view("j-1", JobState.SUCCEEDED, 3, CONTENT.length, answer.checksum()), CONTENT);
            case FrontRequest.WaitForJob wait when wait.job().value().equals("j-late") -> null;
            case FrontRequest.WaitForJob ignored ->
                job("j-1", versions.get() < 2 ? JobState.RUNNING : JobState.SUCCEEDED);
            case FrontRequest.QueryConfiguration ignored -> new FrontReply.ConfigurationReply(Configuration.EMPTY);
            default -> unknown();
        };
    }

    private FrontReply job(String job, JobState state) {
        return new FrontReply.JobReply(ScriptedCore.view(job, state, versions.incrementAndGet(), -1, 0));
    }

    private static FrontReply unknown() {
        return FrontReply.Refused.of(ErrorKind.UNKNOWN_JOB, "j-1");
    }

    private HttpResponse<String> send(String token, String method, String path, String body) throws Exception {
        return client.send(request(token, method, path, body), BodyHandlers.ofString());
    }

    private HttpRequest request(String token, String method, String path, String body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + process.httpPort() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(5))
                .method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
        if (!token.equals("none")) {
            builder.header("Authorization", "Bearer " + token);
        }
        return builder.build();
    }
}
