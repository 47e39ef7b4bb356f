import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the project's programs as separate processes, started by the commands of the deploy
 * file with settings rendered from its templates, and the stand-ins that they talk to.
 */
final class Deployment implements AutoCloseable {
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;
    static final String HOST = "queue.example";
    static final String PREFIX = "/jobs/";
    static final String KEY = "key-of-team";

    final Vertx vertx = Vertx.vertx();
    final PlatformStore store = new PlatformStore(vertx);
    final List<Executor> executors = new ArrayList<>();
    final List<Integer> clientPorts = new ArrayList<>();
    final Record record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Path directory;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final Random random = new Random();
    private final Set<Integer> ports = new HashSet<>();
    private final int storePort;
    private final long statusSeconds;

    /** A response; the status is 0 if there was none. */
    record Response(int status, String body) {}

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    Deployment(Record record, long statusSeconds) throws Exception {
        this.record = record;
        this.storePort = freePort();
        this.statusSeconds = statusSeconds;
        this.directory = Files.createTempDirectory("review-2-");
        store.log = record::add;
        store.put(Wire.CONFIGURATION_KEY, configuration().toBuffer().getBytes());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        await(store.listen(storePort));
    }

    private static JsonObject configuration() {
        JsonObject route = new JsonObject()
                .put("name", "queue")
                .put("host", HOST)
                .put("prefix", PREFIX)
                .put("service", "service")
                .put("priority", 1)
                .put("maxAttempts", 3)
                .put("stretch", 1.5)
                .put("sloMs", 1_000)
                .put("timeoutMs", 3_000);
        return new JsonObject()
                .put("version", 1)
                .put("routes", new JsonArray().add(route))
                .put("services", new JsonArray().add(new JsonObject().put("name", "service")))
                .put("limits", new JsonObject().put("maxBodyBytes", 262_144))
                .put(
                        "tenants",
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("name", "team")
                                        .put("apiKeys", new JsonArray().add(KEY))
                                        .put("guaranteed", new JsonObject().put("gpus", 4))));
    }

    void startEntry(String name) throws Exception {
        int callers = freePort();
        clientPorts.add(callers);
        startProgram("entry", name, settings(name, freePort(), "callers = 127.0.0.1:" + callers
                + "\nreadiness = 127.0.0.1:" + freePort() + "\nmetrics = 127.0.0.1:" + freePort() + "\n"));
    }

    Executor startExecutor(String id, int accelerators) throws Exception {
        int heartbeats = freePort();
        int port = freePort();
        Executor executor = new Executor(vertx, id, accelerators, record);
        executors.add(executor);
        startProgram(
                "agent",
                "agent-of-" + id,
                settings("agent-of-" + id, freePort(), "announcements = 127.0.0.1:" + heartbeats
                        + "\nworker = 127.0.0.1:" + port + "\n"));
        on(() -> executor.listen(port, heartbeats));
        return executor;
    }

    private String settings(String name, int internalPort, String role) {
        return "[node]\nname = " + name + "\ndata-centre = zone\ninternal = 127.0.0.1:" + internalPort + "\n" + role
                + "processor-share = 0.75\nprocessor-cores = 1\nstore = 127.0.0.1:" + storePort
                + "\n\n[bounds]\nlongest-hold = 6000 ms\ngang-wait = 3000 ms\nstop = 200 ms\nstatus = " + statusSeconds
                + " s\ngrace = 6 s\n";
    }

    private void startProgram(String role, String name, String settings) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("no command of role " + role);
        }
        Path file = Files.writeString(directory.resolve(name + ".ini"), settings);
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile());
        builder.environment().put(Wire.SETTINGS_VARIABLE, file.toString());
        Process process = builder.start();
        processes.add(process);
        record.add("process " + process.pid() + " is " + name);
    }

    /** Returns the executors on which nothing runs, or on which something runs. */
    List<Executor> executors(boolean busy) throws Exception {
        return on(() -> Future.succeededFuture(
                executors.stream().filter(executor -> executor.isBusy() == busy).toList()));
    }

    /** Runs an action of a stand-in on the event loop and waits for the end of its future. */
    <T> T on(Callable<Future<T>> action) throws Exception {
        return await(Future.future(promise -> vertx.runOnContext(ignored -> {
            try {
                action.call().onComplete(promise);
            } catch (Exception exception) {
                promise.fail(exception);
            }
        })));
    }

    /** Runs an action of a stand-in on the event loop. */
    void run(Runnable action) throws Exception {
        on(() -> {
            action.run();
            return Future.succeededFuture();
        });
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Calls an entry as a client does. */
    Response call(int entry, String method, String path, String body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + clientPorts.get(entry) + PREFIX + path))
                .timeout(Duration.ofSeconds(4))
                .header("Host", HOST)
                .header(Wire.KEY_HEADER, KEY)
                .header("Content-Type", "application/json")
                .header(Wire.DEADLINE_HEADER, "3000")
                .method(method, body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (IOException exception) {
            return new Response(0, String.valueOf(exception.getMessage()));
        }
    }

    /** Submits a job until it is accepted, as a client with retries does. */
    boolean submit(int entry, String id, JsonObject job) throws InterruptedException {
        for (int attempt = 0; attempt < 5; attempt++) {
            Response response = call(entry, "POST", id, job.encode());
            record.add("POST " + id + " answered " + response.status());
            if (response.status() == 200) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    static JsonObject job(String payload, int count, int accelerators) {
        return new JsonObject()
                .put("spec", payload)
                .put(
                        Wire.STEPS,
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("count", count)
                                        .put("cpu", 1_000)
                                        .put("memMb", 1_000)
                                        .put("gpus", accelerators)
                                        .put("estRuntimeMs", 1_000)));
    }

    /** Waits until one small job has run on the deployment; returns false if it does not within the time. */
    boolean awaitReady(String id, long milliseconds) throws InterruptedException {
        long deadline = System.currentTimeMillis() + milliseconds;
        while (call(0, "POST", id, job("100", 1, 1).encode()).status() != 200) {
            if (System.currentTimeMillis() > deadline) {
                return false;
            }
            Thread.sleep(200);
        }
        while (!state(0, id).contains("completed")) {
            if (System.currentTimeMillis() > deadline) {
                return false;
            }
            Thread.sleep(100);
        }
        requireRunning();
        return true;
    }

    String state(int entry, String id) throws InterruptedException {
        Response response = call(entry, "GET", id, null);
        return response.status() + " " + response.body();
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private int freePort() {
        while (true) {
            int port = random.nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (ports.add(port)) {
                    return socket.getLocalPort();
                }
            } catch (IOException exception) {
                record.add("port " + port + " is in use");
            }
        }
    }

    private void requireRunning() {
        processes.stream().filter(process -> !process.isAlive()).findFirst().ifPresent(process -> {
            throw new IllegalStateException("process " + process.pid() + " has ended");
        });
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            process.waitFor(5, TimeUnit.SECONDS);
        }
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }
}
