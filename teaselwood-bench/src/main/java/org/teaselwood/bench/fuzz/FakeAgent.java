package org.teaselwood.bench.fuzz;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.teaselwood.agent.core.AgentCore;
import org.teaselwood.agent.core.AgentEffects;
import org.teaselwood.agent.core.AgentEvent;
import org.teaselwood.model.BackendServer;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.worker.WorkerCall;
import org.teaselwood.protocol.worker.WorkerReply;

/** A real agent core in a simulated process with a simulated worker. Confined to the thread of its virtual time. */
final class FakeAgent implements AgentEffects {
    private static final long TICK_MILLISECONDS = 100;
    private static final long RECONNECT_MILLISECONDS = 300;
    private static final long WORKER_DELAY_MILLISECONDS = 1;

    private final SimulatedCluster cluster;
    private final Node node;
    private final BackendServer server;
    private final FakeWorker worker;
    private final AgentCore core;
    private long currentLink;
    private String connectedTo = "";
    private boolean connecting;
    private boolean drained;
    private boolean shuttingDown;

    FakeAgent(SimulatedCluster cluster, Node node, BackendServer server, String incarnation, FakeWorker worker) {
        this.cluster = cluster;
        this.node = node;
        this.server = server;
        this.worker = worker;
        this.core = new AgentCore(server, incarnation, this);
        node.deliver(() -> handle(new AgentEvent.ProcessStarted()));
        node.repeat(cluster.time(), TICK_MILLISECONDS, () -> {
            handle(new AgentEvent.Tick());
            connectIfNeeded();
        });
    }

    Node node() {
        return node;
    }

    BackendServer server() {
        return server;
    }

    FakeWorker worker() {
        return worker;
    }

    boolean isDrained() {
        return drained;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Returns the conditions that may keep the agent from taking work, for traces. */
    String describeState() {
        return "connected to " + connectedTo + " over link " + currentLink
                + (refusesNewWork() ? ", refuses new work" : "")
                + (shuttingDown ? ", shutting down" : "")
                + (node.isDead() ? ", dead" : "")
                + (node.isPaused() ? ", paused" : "");
    }

    /** Returns whether the agent would refuse a reservation because its backend server accepts no new work. */
    boolean refusesNewWork() {
        return core.refusesNewWork();
    }

    void shutDown() {
        shuttingDown = true;
        node.deliver(() -> handle(new AgentEvent.ShutdownRequested()));
    }

    @Override
    public void send(long link, AgentMessage message) {
        cluster.network().send(link, node, message);
    }

    @Override
    public void closeConnection(long link) {
        cluster.network().close(link);
        if (link == currentLink) {
            cluster.time().schedule(0, () -> node.deliver(() -> closed(link)));
        }
    }

    @Override
    public void callWorker(long token, WorkerCall call) {
        cluster.time()
                .schedule(
                        WORKER_DELAY_MILLISECONDS, () -> worker.call(call, reply -> deliverWorkerReply(token, reply)));
    }

    @Override
    public void entriesReceived(String connectedEntry, List<EntryAddress> entries) {
        // The real process also connects through the load balancer; this fake always does, and needs no list.
    }

    @Override
    public void connectToAnotherEntry() {
        connectToNextEntry();
    }

    @Override
    public void drained() {
        drained = true;
    }

    @Override
    public void log(String message, String job) {
        cluster.trace(node.name(), message + " " + job);
    }

    private void deliverWorkerReply(long token, WorkerReply reply) {
        cluster.time()
                .schedule(
                        WORKER_DELAY_MILLISECONDS,
                        () -> node.deliver(() -> handle(new AgentEvent.WorkerReplied(token, reply))));
    }

    private void connectToNextEntry() {
        if (connecting) {
            return;
        }
        connecting = true;
        List<EntryAddress> candidates = new ArrayList<>(cluster.loadBalancerAddresses(server.region()));
        candidates.sort(
                Comparator.comparing((EntryAddress address) -> address.entry().equals(connectedTo))
                        .thenComparing(address -> !address.dataCentre().equals(server.dataCentre()))
                        .thenComparing(EntryAddress::entry));
        if (candidates.isEmpty()) {
            scheduleReconnect();
            return;
        }
        boolean otherDataCentre = cluster.random().nextInt(4) == 0;
        EntryAddress target = candidates.get(otherDataCentre ? cluster.random().nextInt(candidates.size()) : 0);
        cluster.network().connect(node, SimulatedCluster.hostPort(target), new FakeNetwork.Connector() {
            @Override
            public FakeNetwork.Listener connected(long link) {
                return handleConnected(target, link);
            }

            @Override
            public void failed() {
                scheduleReconnect();
            }
        });
    }

    private FakeNetwork.Listener handleConnected(EntryAddress target, long link) {
        connecting = false;
        long previous = currentLink;
        currentLink = link;
        connectedTo = target.entry();
        if (previous != 0) {
            cluster.network().close(previous);
        }
        handle(new AgentEvent.ConnectionOpened(link));
        return new FakeNetwork.Listener() {
            @Override
            public void received(long from, Message message) {
                if (message instanceof AgentCommand command) {
                    handle(new AgentEvent.CommandReceived(from, command));
                }
            }

            @Override
            public void closed(long from) {
                FakeAgent.this.closed(from);
            }
        };
    }

    private void closed(long link) {
        handle(new AgentEvent.ConnectionClosed(link));
        if (link == currentLink) {
            currentLink = 0;
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        connecting = false;
        cluster.time()
                .schedule(
                        RECONNECT_MILLISECONDS + cluster.random().nextInt(300),
                        () -> node.deliver(this::connectIfNeeded));
    }

    private void connectIfNeeded() {
        if (currentLink == 0) {
            connectToNextEntry();
        }
    }

    private void handle(AgentEvent event) {
        core.handle(event, cluster.time().nowMilliseconds());
    }
}
