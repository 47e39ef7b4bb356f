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

/** A real agent core in a simulated process beside a simulated worker. Confined to the thread of its virtual time. */
final class FakeAgent implements AgentEffects {
    private static final long TICK_MILLISECONDS = 100;
    private static final long RECONNECT_MILLISECONDS = 300;
    private static final long WORKER_DELAY_MILLISECONDS = 1;

    private final World world;
    private final Node node;
    private final BackendServer server;
    private final FakeWorker worker;
    private final AgentCore core;
    private long currentLink;
    private String connectedTo = "";
    private boolean connecting;
    private boolean drained;
    private boolean leaving;

    FakeAgent(World world, Node node, BackendServer server, String incarnation, FakeWorker worker) {
        this.world = world;
        this.node = node;
        this.server = server;
        this.worker = worker;
        this.core = new AgentCore(server, incarnation, this);
        node.deliver(() -> handle(new AgentEvent.ProcessStarted()));
        node.repeat(world.time(), TICK_MILLISECONDS, () -> {
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

    boolean isLeaving() {
        return leaving;
    }

    /** What hinders the agent from taking work, for traces. */
    String condition() {
        return "connected to " + connectedTo + " over link " + currentLink
                + (refusesNewWork() ? ", refuses new work" : "")
                + (leaving ? ", leaving" : "")
                + (node.isDead() ? ", dead" : "")
                + (node.isPaused() ? ", paused" : "");
    }

    /** Whether the agent itself would refuse a hold because its backend server takes no new work. */
    boolean refusesNewWork() {
        return core.refusesNewWork();
    }

    void shutDown() {
        leaving = true;
        node.deliver(() -> handle(new AgentEvent.ShutdownRequested()));
    }

    @Override
    public void send(long link, AgentMessage message) {
        world.network().send(link, node, message);
    }

    @Override
    public void closeConnection(long link) {
        world.network().close(link);
        if (link == currentLink) {
            world.time().schedule(0, () -> node.deliver(() -> closed(link)));
        }
    }

    @Override
    public void callWorker(long token, WorkerCall call) {
        world.time().schedule(WORKER_DELAY_MILLISECONDS, () -> worker.call(call, reply -> replied(token, reply)));
    }

    @Override
    public void entriesReceived(String connectedEntry, List<EntryAddress> entries) {
        // The process finds entries through the balancer's address as well, as this fake always does.
    }

    @Override
    public void connectToAnotherEntry() {
        connectElsewhere();
    }

    @Override
    public void drained() {
        drained = true;
    }

    @Override
    public void log(String message, String job) {
        world.trace(node.name(), message + " " + job);
    }

    private void replied(long token, WorkerReply reply) {
        world.time()
                .schedule(
                        WORKER_DELAY_MILLISECONDS,
                        () -> node.deliver(() -> handle(new AgentEvent.WorkerReplied(token, reply))));
    }

    private void connectElsewhere() {
        if (connecting) {
            return;
        }
        connecting = true;
        List<EntryAddress> candidates = new ArrayList<>(world.balancer(server.region()));
        candidates.sort(
                Comparator.comparing((EntryAddress address) -> address.entry().equals(connectedTo))
                        .thenComparing(address -> !address.dataCentre().equals(server.dataCentre()))
                        .thenComparing(EntryAddress::entry));
        if (candidates.isEmpty()) {
            retry();
            return;
        }
        boolean otherDataCentre = world.random().nextInt(4) == 0;
        EntryAddress target = candidates.get(otherDataCentre ? world.random().nextInt(candidates.size()) : 0);
        world.network().connect(node, World.hostPort(target), new FakeNetwork.Connector() {
            @Override
            public FakeNetwork.Listener connected(long link) {
                return opened(target, link);
            }

            @Override
            public void failed() {
                retry();
            }
        });
    }

    private FakeNetwork.Listener opened(EntryAddress target, long link) {
        connecting = false;
        long previous = currentLink;
        currentLink = link;
        connectedTo = target.entry();
        if (previous != 0) {
            world.network().close(previous);
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
            retry();
        }
    }

    private void retry() {
        connecting = false;
        world.time()
                .schedule(
                        RECONNECT_MILLISECONDS + world.random().nextInt(300),
                        () -> node.deliver(this::connectIfNeeded));
    }

    private void connectIfNeeded() {
        if (currentLink == 0) {
            connectElsewhere();
        }
    }

    private void handle(AgentEvent event) {
        core.handle(event, world.time().nowMilliseconds());
    }
}
