package org.teaselwood.cli.demo;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.cli.JobWaiter;
import org.teaselwood.cli.demo.EntryProcesses.EntryInstance;
import org.teaselwood.entry.http.JobJson;
import org.teaselwood.model.Answer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.standins.keyvalue.KeyValueStandIn;

/**
 * Tests that callers lose no job or response when a real entry process is killed or shut down gracefully. The load is
 * bounded in requests and time.
 */
class EntryProcessesTest {
    private static final LabFiles FILES = new LabFiles(Path.of("..", "examples", "lab"));
    private static final long JOB_TIMEOUT_MILLISECONDS = 40_000;
    private static final int CLIENTS = 8;
    private static final int REQUESTS_PER_CLIENT = 1_000;
    private static final int REQUESTS_BEFORE_STOP = 200;
    private static final int RENDER_PARTS = 3;

    @TempDir
    private static Path directory;

    private static Vertx vertx;
    private static EntryProcesses entries;
    private static LabServers servers;
    private static EntryClient client;
    private static Configuration configuration;

    /** Starts three entries for both tests. Each test ends one of them, so that one remains. */
    @BeforeAll
    static void start() throws Exception {
        vertx = Vertx.vertx();
        KeyValueStandIn store = new KeyValueStandIn(vertx);
        entries =
                new EntryProcesses(directory, LabCluster.await(store.listen(0)).port());
        entries.start(FILES.entries());
        servers = LabCluster.await(LabServers.start(
                vertx,
                FILES.agents(),
                entries.instances().stream().map(EntryInstance::address).toList()));
        client = new EntryClient(
                vertx, entries.instances().stream().map(EntryInstance::url).toList(), Optional.empty());
        ClusterSetup.awaitServers(client, servers.workers().size(), text -> {});
        configuration = ClusterSetup.publish(client, FILES.declarations());
    }

    @AfterAll
    static void stop() {
        client.close();
        servers.close();
        entries.close();
        LabCluster.await(vertx.close());
    }

    @Test
    void a_gang_survives_the_kill_of_its_placer_and_runs_once() throws Exception {
        JobSubmission render = new JobSubmission(
                UUID.randomUUID().toString(),
                true,
                "carillon",
                "chime-tuning-render",
                Map.of("chime", "cathedral", "bells", "18", "run-milliseconds", "5000"),
                0,
                true,
                false);
        String job = client.submit(render).getString("job");
        awaitState(job, "running");

        EntryInstance killed = placer();
        assertThat(client.job(job).getString("state")).isEqualTo("running");
        killed.process().destroyForcibly();

        JsonObject ended = new JobWaiter(client, state -> {}).waitFor(job, JOB_TIMEOUT_MILLISECONDS);
        assertThat(ended.getString("state")).isEqualTo("succeeded");
        assertThat(ended.getInteger("attempt")).isEqualTo(1);
        Answer expected = ExpectedAnswers.of(render, configuration.templates().get(render.template()));
        assertThat(client.answer(job)).isEqualTo(expected);
        assertThat(placer()).isNotEqualTo(killed);
        assertThat(servers.workers().stream()
                        .flatMap(worker -> worker.runs().stream())
                        .filter(task -> task.attempt().job().value().equals(job))
                        .count())
                .isEqualTo(RENDER_PARTS);
    }

    @Test
    void a_graceful_shutdown_of_the_placer_under_load_interrupts_no_request_and_loses_no_job() throws Exception {
        EntryInstance stopping = placer();
        LoadGenerator load = new LoadGenerator(stopping.url());
        try (ExecutorService executor = Executors.newFixedThreadPool(CLIENTS)) {
            IntStream.range(0, CLIENTS).forEach(ignored -> executor.submit(load));
            for (int polls = 0; load.completeResponses.get() < REQUESTS_BEFORE_STOP && polls < 1_000; polls++) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            stopping.process().destroy();
        }
        load.http.shutdownNow();

        assertThat(stopping.exitCode()).isEqualTo(0);
        assertThat(load.failedRequests).isEmpty();
        assertThat(load.completeResponses.get()).isAtLeast(REQUESTS_BEFORE_STOP + CLIENTS);
        for (String job : load.acceptedJobs) {
            JsonObject ended = new JobWaiter(client, state -> {}).waitFor(job, JOB_TIMEOUT_MILLISECONDS);
            assertThat(ended.getString("state")).isEqualTo("succeeded");
        }
    }

    /** Returns the live entry that is the elected placer. */
    private static EntryInstance placer() {
        String placer = client.region().getString("placer");
        return entries.instances().stream()
                .filter(entry -> entry.entry().equals(placer))
                .findFirst()
                .orElseThrow();
    }

    private static void awaitState(String job, String state) {
        JsonObject current = client.job(job);
        for (int polls = 0; polls < 50 && !current.getString("state").equals(state); polls++) {
            current = client.waitForChange(job, current.getLong("version"), 1_000);
        }
        assertThat(current.getString("state")).isEqualTo(state);
    }

    /**
     * Alternates submissions and wait requests until the entry announces its shutdown with {@code Connection: close}.
     * Behind a load balancer, the failing {@code /readyz} has the same effect. The jobs run at most once, so the record
     * of each is stored and survives the entry.
     */
    private static final class LoadGenerator implements Runnable {
        private final HttpClient http = HttpClient.newHttpClient();
        private final AtomicInteger completeResponses = new AtomicInteger();
        private final Queue<String> failedRequests = new ConcurrentLinkedQueue<>();
        private final Queue<String> acceptedJobs = new ConcurrentLinkedQueue<>();
        private final String url;

        LoadGenerator(String url) {
            this.url = url;
        }

        @Override
        public void run() {
            for (int index = 0; index < REQUESTS_PER_CLIENT; index++) {
                try {
                    if (announcesClose(submitAndWait())) {
                        return;
                    }
                } catch (IOException | RuntimeException exception) {
                    failedRequests.add(exception.toString());
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }

        private HttpResponse<String> submitAndWait() throws IOException, InterruptedException {
            JobSubmission plan = new JobSubmission(
                    UUID.randomUUID().toString(),
                    true,
                    "winding-desk",
                    "winding-plan",
                    Map.of("district", "old-town", "clocks", "36", "run-milliseconds", "20"),
                    0,
                    false,
                    false);
            HttpResponse<String> submitted = send(request("/v1/jobs")
                    .POST(BodyPublishers.ofString(JobJson.of(plan).encode())));
            if (submitted.statusCode() / 100 != 2) {
                return submitted;
            }
            String location = submitted.headers().firstValue("location").orElseThrow();
            acceptedJobs.add(location.substring(location.lastIndexOf('/') + 1));
            return announcesClose(submitted) ? submitted : send(request(location + "/wait?timeoutMilliseconds=100"));
        }

        /** Sends a request; fails unless the response body is complete JSON. */
        private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
            HttpResponse<String> response = http.send(request.build(), BodyHandlers.ofString());
            new JsonObject(response.body());
            completeResponses.incrementAndGet();
            return response;
        }

        private HttpRequest.Builder request(String path) {
            return HttpRequest.newBuilder(URI.create(url + path))
                    .version(HttpClient.Version.HTTP_1_1)
                    .timeout(Duration.ofSeconds(20));
        }

        private static boolean announcesClose(HttpResponse<String> response) {
            return response.headers().firstValue("connection").orElse("").equals("close");
        }
    }
}
