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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.cli.JobWaiter;
import org.teaselwood.cli.demo.EntryProcesses.Started;
import org.teaselwood.entry.http.JobJson;
import org.teaselwood.model.Answer;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.JobSubmission;
import org.teaselwood.standins.keyvalue.KeyValueStandIn;
import org.teaselwood.standins.worker.WorkerStandIn;

/** Guards what callers see when a real entry process is killed or asked to stop. Bounded in requests and time. */
class EntryProcessesTest {
    private static final LabFiles FILES = new LabFiles(Path.of("..", "examples", "lab"));
    private static final long WAIT_MILLISECONDS = 40_000;
    private static final int CLIENTS = 8;
    private static final int REQUESTS_OF_A_CLIENT = 1_000;
    private static final int REQUESTS_BEFORE_STOP = 200;
    private static final int RENDER_PARTS = 3;

    @TempDir
    private Path directory;

    private final Vertx vertx = Vertx.vertx();
    private EntryProcesses entries;
    private LabServers servers;
    private EntryClient client;
    private Configuration configuration;

    @BeforeEach
    void start() throws Exception {
        KeyValueStandIn store = new KeyValueStandIn(vertx);
        entries =
                new EntryProcesses(directory, LabCluster.await(store.listen(0)).port());
        entries.start(FILES.entries());
        servers = LabCluster.await(LabServers.start(
                vertx,
                FILES.agents(),
                entries.started().stream().map(Started::address).toList()));
        client = new EntryClient(
                vertx, entries.started().stream().map(Started::front).toList(), Optional.empty());
        ClusterClients.awaitServers(client, servers.workers().size(), text -> {});
        configuration = ClusterClients.publish(client, FILES.declarations());
    }

    @AfterEach
    void stop() {
        client.close();
        servers.close();
        entries.close();
        LabCluster.await(vertx.close());
    }

    @Test
    void a_gang_survives_the_kill_of_its_placer_and_runs_once() throws Exception {
        JobSubmission render = submission(
                "carillon",
                "chime-tuning-render",
                Map.of("chime", "cathedral", "bells", "18", "run-milliseconds", "5000"));
        String job = client.submit(render).getString("job");
        awaitState(job, "running");

        String placer = client.region().getString("placer");
        Started killed = entries.started().stream()
                .filter(entry -> entry.entry().equals(placer))
                .findFirst()
                .orElseThrow();
        assertThat(client.job(job).getString("state")).isEqualTo("running");
        killed.process().destroyForcibly();

        JsonObject ended = new JobWaiter(client, state -> {}).waitFor(job, WAIT_MILLISECONDS);
        assertThat(ended.getString("state")).isEqualTo("succeeded");
        assertThat(ended.getInteger("attempt")).isEqualTo(1);
        Answer expected = ExpectedAnswers.of(render, configuration.templates().get(render.template()));
        assertThat(client.answer(job)).isEqualTo(expected);
        assertThat(client.region().getString("placer")).isNotEqualTo(placer);
        assertThat(servers.workers().stream()
                        .map(WorkerStandIn::runs)
                        .mapToInt(List::size)
                        .sum())
                .isEqualTo(RENDER_PARTS);
    }

    @Test
    void an_entry_that_is_asked_to_stop_under_load_cuts_no_request_short() throws Exception {
        Started leaving = entries.started().getFirst();
        ConcurrentLinkedQueue<String> cut = new ConcurrentLinkedQueue<>();
        AtomicInteger whole = new AtomicInteger();
        HttpClient http = HttpClient.newHttpClient();
        try (ExecutorService executor = Executors.newFixedThreadPool(CLIENTS)) {
            for (int index = 0; index < CLIENTS; index++) {
                executor.submit(() -> load(http, leaving.front(), whole, cut));
            }
            for (int pauses = 0; whole.get() < REQUESTS_BEFORE_STOP && pauses < 1_000; pauses++) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            leaving.process().destroy();
        }

        http.shutdownNow();
        assertThat(leaving.exitCode()).isEqualTo(0);
        assertThat(cut).isEmpty();
        assertThat(whole.get()).isAtLeast(REQUESTS_BEFORE_STOP + CLIENTS);
    }

    /**
     * Sends submissions and waits in turn, until the entry tells by {@code Connection: close} that it leaves. A caller
     * behind the balancer is moved away by the failing {@code /readyz} in the same way.
     */
    private static void load(HttpClient http, String front, AtomicInteger whole, ConcurrentLinkedQueue<String> cut) {
        for (int index = 0; index < REQUESTS_OF_A_CLIENT; index++) {
            try {
                HttpResponse<String> response = http.send(planRequest(front), BodyHandlers.ofString());
                new JsonObject(response.body());
                whole.incrementAndGet();
                if (leaves(response)) {
                    return;
                }
                String location = response.headers().firstValue("location").orElseThrow();
                HttpRequest wait = request(front + location + "/wait?timeoutMilliseconds=100")
                        .build();
                HttpResponse<String> waited = http.send(wait, BodyHandlers.ofString());
                new JsonObject(waited.body());
                whole.incrementAndGet();
                if (leaves(waited)) {
                    return;
                }
            } catch (IOException | RuntimeException exception) {
                cut.add(exception.toString());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static boolean leaves(HttpResponse<String> response) {
        return response.headers().firstValue("connection").orElse("").equals("close");
    }

    private static HttpRequest planRequest(String front) {
        JobSubmission plan = submission(
                "winding-desk",
                "winding-plan",
                Map.of("district", "old-town", "clocks", "36", "run-milliseconds", "20"));
        return request(front + "/v1/jobs")
                .POST(BodyPublishers.ofString(JobJson.of(plan).encode()))
                .build();
    }

    private static JobSubmission submission(String team, String template, Map<String, String> parameters) {
        return new JobSubmission(UUID.randomUUID().toString(), true, team, template, parameters, 0, true, false);
    }

    private static HttpRequest.Builder request(String address) {
        return HttpRequest.newBuilder(URI.create(address))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(20));
    }

    private void awaitState(String job, String state) {
        JsonObject seen = client.job(job);
        for (int changes = 0; changes < 50 && !seen.getString("state").equals(state); changes++) {
            seen = client.waitForChange(job, seen.getLong("version"), 1_000);
        }
        assertThat(seen.getString("state")).isEqualTo(state);
    }
}
