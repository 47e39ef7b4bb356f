package org.teaselwood.cli.demo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.teaselwood.cli.CommandException;
import org.teaselwood.cli.EntryClient;
import org.teaselwood.cli.ExitCode;
import org.teaselwood.entry.process.EntryAssembly;
import org.teaselwood.entry.process.EntryProcess;
import org.teaselwood.settings.EntrySettings;
import org.teaselwood.settings.NetworkAddress;
import org.teaselwood.settings.Secret;
import org.teaselwood.standins.keyvalue.KeyValueStandIn;
import org.teaselwood.standins.worker.WorkerStandIn;

/**
 * The Lab's deployment in one JVM: the key-value stand-in, one entry for each of three data centres, and 11 agents,
 * each with a worker stand-in. The instances communicate only over loopback sockets, as separate processes do. Settings
 * come from the Lab's files; the addresses are replaced by free loopback ports.
 */
public final class LabCluster implements AutoCloseable {
    private static final long START_TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final KeyValueStandIn store = new KeyValueStandIn(vertx);
    private final List<EntrySettings> settings;
    private final List<EntryProcess> entries = new ArrayList<>();
    private LabServers servers;

    private LabCluster(LabFiles files) {
        this.settings = files.entries();
    }

    /**
     * Starts all instances.
     *
     * @throws CommandException with UNAVAILABLE if an instance fails to start
     */
    public static LabCluster start(LabFiles files) {
        LabCluster cluster = new LabCluster(files);
        try {
            cluster.startAll(files);
        } catch (RuntimeException exception) {
            cluster.close();
            throw exception;
        }
        return cluster;
    }

    /** Returns the HTTP addresses of the entries. */
    public List<String> entryUrls() {
        return entries.stream()
                .map(entry -> "http://" + LabServers.LOOPBACK + ":" + entry.httpPort())
                .toList();
    }

    /** Creates a client of all entries with the operators' token. */
    public EntryClient operator() {
        return new EntryClient(vertx, entryUrls(), token(settings.getFirst().operatorToken()));
    }

    /** Creates a client of the given entries with a team's token. */
    public EntryClient caller(String team, List<String> entryUrls) {
        return new EntryClient(
                vertx,
                entryUrls,
                token(Optional.ofNullable(settings.getFirst().teamTokens().get(team))));
    }

    /** Returns the entries. */
    public List<EntryProcess> entries() {
        return List.copyOf(entries);
    }

    /** Returns the worker stand-ins. */
    public List<WorkerStandIn> workers() {
        return servers.workers();
    }

    /** Stops all instances immediately, without a graceful shutdown. */
    @Override
    public void close() {
        if (servers != null) {
            servers.close();
        }
        entries.forEach(EntryProcess::closeNow);
        await(vertx.close());
    }

    /**
     * Waits for a startup step and returns its result.
     *
     * @throws CommandException with UNAVAILABLE if the step fails or does not complete within 20 s
     */
    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException exception) {
            throw new CommandException(ExitCode.UNAVAILABLE, "an instance failed to start: " + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.INTERNAL, "interrupted");
        }
    }

    private void startAll(LabFiles files) {
        int storePort = await(store.listen(0)).port();
        settings.forEach(entry -> entries.add(await(EntryAssembly.start(vertx, withLoopbackPorts(entry, storePort)))));
        servers = await(LabServers.start(vertx, files.agents(), internalAddresses()));
    }

    private EntrySettings withLoopbackPorts(EntrySettings entrySettings, int storePort) {
        return new EntrySettings(
                entrySettings.identifier(),
                entrySettings.region(),
                entrySettings.dataCentre(),
                new NetworkAddress(LabServers.LOOPBACK, 0),
                new NetworkAddress(LabServers.LOOPBACK, 0),
                internalAddresses(),
                entrySettings.sharedKey(),
                entrySettings.operatorToken(),
                entrySettings.teamTokens(),
                List.of(new NetworkAddress(LabServers.LOOPBACK, storePort)),
                entrySettings.keyValueTimeoutMilliseconds(),
                entrySettings.tls(),
                entrySettings.timings());
    }

    private List<NetworkAddress> internalAddresses() {
        return entries.stream()
                .map(entry -> new NetworkAddress(LabServers.LOOPBACK, entry.internalPort()))
                .toList();
    }

    private static Optional<String> token(Optional<Secret> secret) {
        return secret.map(Secret::value);
    }
}
