package org.teaselwood.bench.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.standins.keyvalue.KeyValueStandIn;
import org.teaselwood.standins.worker.WorkerStandIn;

/**
 * One region of three data centres over loopback: three entry processes and one agent process per backend server. The
 * stand-ins of the key-value service and the workers run in this JVM. Confined to one thread.
 */
final class ControlCluster implements AutoCloseable {
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final long POLL_MILLISECONDS = 50;
    private static final int START_BATCH_SIZE = 10;
    private static final long START_BATCH_INTERVAL_MILLISECONDS = 400;
    private static final int SERVERS_PER_RACK = 12;

    /** Every fourth server has a second accelerator, which approximates 1,400 accelerators on 1,100 workers. */
    private static final int SERVERS_PER_EXTRA_ACCELERATOR = 4;

    static final int ENTRIES = 3;

    private final Vertx vertx = Vertx.vertx();
    private final KeyValueStandIn store = new KeyValueStandIn(vertx);
    private final ProcessGroup group = new ProcessGroup();
    private final Path home;
    private final Path directory;
    private final List<Integer> httpPorts;
    private final List<Integer> internalPorts;
    private final Map<String, Process> entries = new TreeMap<>();
    private final List<Process> agents = new ArrayList<>();
    private int storePort;

    private ControlCluster(Path home) {
        this.home = home;
        List<Integer> ports = LoopbackPorts.free(2 * ENTRIES);
        this.httpPorts = ports.subList(0, ENTRIES);
        this.internalPorts = ports.subList(ENTRIES, 2 * ENTRIES);
        try {
            this.directory = Files.createTempDirectory("teaselwood-bench");
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Starts the cluster and waits until all agents are in service; stops all processes on failure. */
    static ControlCluster start(Path home, int numberOfAgents) {
        ControlCluster cluster = new ControlCluster(home);
        try {
            cluster.startAll(numberOfAgents);
            return cluster;
        } catch (RuntimeException exception) {
            cluster.close();
            throw exception;
        }
    }

    /** Returns the entry processes by entry identifier. */
    Map<String, Process> entries() {
        return entries;
    }

    /** Returns the agent processes; agent number {@code i} has the name {@link #agentName}. */
    List<Process> agents() {
        return agents;
    }

    KeyValueStandIn store() {
        return store;
    }

    /** Returns a new client of one entry's HTTP API. */
    EntryClient client(String entry) {
        return new EntryClient(vertx, List.of(url(entry)), Optional.empty());
    }

    /** Returns the URL of an entry's HTTP API. */
    String url(String entry) {
        return "http://" + LoopbackPorts.HOST + ":" + httpPorts.get(numberOf(entry));
    }

    /** Returns the identifiers of all entries. */
    static List<String> entryNames() {
        return IntStream.range(0, ENTRIES).mapToObj(number -> "entry-" + number).toList();
    }

    static String agentName(int number) {
        return "server-" + number;
    }

    /** Starts an entry, or restarts it after its process has ended. */
    void startEntry(String entry) {
        int number = numberOf(entry);
        Path file = write(entry + ".ini", """
                [entry]
                identifier = %s
                region = bench
                data-centre = centre-%d
                http-listen = 127.0.0.1:%d
                internal-listen = 127.0.0.1:%d
                seeds = %s

                [key-value]
                endpoints = 127.0.0.1:%d
                """.formatted(
                        entry, number, httpPorts.get(number), internalPorts.get(number), addresses(number), storePort));
        entries.put(entry, start("teaselwood", "entry", file, entry));
    }

    /**
     * Waits until every entry is alive and every backend server is in service.
     *
     * @param seconds time limit in seconds
     * @throws IllegalStateException if the time limit is exceeded
     */
    void awaitInService(long seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        String last = "";
        while (System.nanoTime() < end) {
            try (EntryClient client = client(entryNames().getFirst())) {
                JsonObject region = client.region();
                int alive = region.getJsonArray("entries").size();
                long inService = RegionState.inService(region);
                last = alive + " entries and " + inService + " agents";
                if (alive == ENTRIES && inService == agents.size()) {
                    return;
                }
            } catch (RuntimeException exception) {
                last = exception.getMessage();
            }
            sleep(POLL_MILLISECONDS);
        }
        throw new IllegalStateException("not all entries and agents are in service after " + seconds + " s: " + last);
    }

    /** Sleeps, and throws {@link IllegalStateException} if interrupted. */
    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        }
    }

    @Override
    public void close() {
        group.close();
        store.close();
        vertx.close();
        if (Boolean.getBoolean("teaselwood.bench.keep-logs")) {
            System.err.println("bench: logs kept in " + directory);
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private void startAll(int numberOfAgents) {
        storePort = await(store.listen(0)).port();
        entryNames().forEach(this::startEntry);
        startAgent(0);
        awaitInService(2 * START_TIMEOUT_SECONDS);
        for (int number = 1; number < numberOfAgents; number++) {
            startAgent(number);
            if (number % START_BATCH_SIZE == 0) {
                sleep(START_BATCH_INTERVAL_MILLISECONDS);
            }
        }
        awaitInService(2 * START_TIMEOUT_SECONDS + numberOfAgents / 4);
    }

    private void startAgent(int number) {
        int worker = await(WorkerStandIn.start(vertx, 0)).port();
        int centre = number % ENTRIES;
        Path file = write(agentName(number) + ".ini", """
                [agent]
                name = %s
                region = bench
                data-centre = centre-%d
                rack = rack-%d-%d
                capabilities = bench
                accelerators = %d
                cores = 64
                memory = 256 GiB
                slots = 8
                entries = %s
                worker = 127.0.0.1:%d
                """.formatted(
                        agentName(number),
                        centre,
                        centre,
                        number / (ENTRIES * SERVERS_PER_RACK),
                        number % SERVERS_PER_EXTRA_ACCELERATOR == 0 ? 2 : 1,
                        addresses(centre),
                        worker));
        agents.add(start("teaselwood-agent", null, file, agentName(number)));
    }

    private Process start(String program, String subcommand, Path settings, String name) {
        List<String> command =
                new ArrayList<>(List.of(home.resolve("bin").resolve(program).toString()));
        if (subcommand != null) {
            command.add(subcommand);
        }
        command.addAll(List.of("--settings", settings.toString()));
        return group.start(command, directory.resolve(name + ".log"));
    }

    /** Returns the internal addresses of all entries, starting with the given one. */
    private String addresses(int first) {
        return IntStream.range(0, ENTRIES)
                .mapToObj(offset -> LoopbackPorts.HOST + ":" + internalPorts.get((first + offset) % ENTRIES))
                .collect(Collectors.joining(", "));
    }

    private Path write(String name, String content) {
        try {
            return Files.writeString(directory.resolve(name), content);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static int numberOf(String entry) {
        return entryNames().indexOf(entry);
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", exception);
        } catch (ExecutionException | TimeoutException exception) {
            throw new IllegalStateException("a stand-in could not be started", exception);
        }
    }
}
