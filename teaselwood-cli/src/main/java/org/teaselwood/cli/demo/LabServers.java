package org.teaselwood.cli.demo;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.teaselwood.agent.AgentProcess;
import org.teaselwood.settings.AgentSettings;
import org.teaselwood.settings.NetworkAddress;
import org.teaselwood.standins.worker.WorkerStandIn;

/** Backend servers of the Lab: a worker stand-in and an agent for each settings file, on free loopback ports. */
public final class LabServers implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";

    private final List<WorkerStandIn> workers;
    private final List<AgentProcess> agents = new ArrayList<>();

    private LabServers(List<WorkerStandIn> workers) {
        this.workers = List.copyOf(workers);
    }

    /** Starts a worker stand-in and an agent for each element of the settings; agents connect to the given entries. */
    static Future<LabServers> start(Vertx vertx, List<AgentSettings> settings, List<NetworkAddress> entries) {
        List<Future<WorkerStandIn>> workers =
                settings.stream().map(ignored -> WorkerStandIn.start(vertx, 0)).toList();
        return Future.all(workers).map(started -> {
            LabServers servers = new LabServers(started.list());
            for (int index = 0; index < settings.size(); index++) {
                int port = servers.workers.get(index).port();
                servers.agents.add(new AgentProcess(vertx, withLoopbackPorts(settings.get(index), entries, port)));
            }
            return servers;
        });
    }

    /** Returns the worker stand-ins. */
    public List<WorkerStandIn> workers() {
        return workers;
    }

    /** Stops the agents immediately. */
    @Override
    public void close() {
        agents.forEach(AgentProcess::close);
    }

    private static AgentSettings withLoopbackPorts(
            AgentSettings settings, List<NetworkAddress> entries, int workerPort) {
        return new AgentSettings(
                settings.server(),
                entries,
                new NetworkAddress(LOOPBACK, workerPort),
                settings.sharedKey(),
                settings.tlsAuthorities(),
                settings.drainTimeoutMilliseconds());
    }
}
