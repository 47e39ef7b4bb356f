package org.teaselwood.bench.fuzz;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.teaselwood.entry.core.EntryCore;
import org.teaselwood.entry.core.EntryEffects;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.FrontReply;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Message;

/** A real entry core in a simulated process. Confined to the thread of its virtual time. */
final class FakeEntry implements EntryEffects, FakeNetwork.Acceptor {
    private static final long TICK_MILLISECONDS = 100;

    private final SimulatedCluster cluster;
    private final Node node;
    private final EntryAddress address;
    private final EntryCore core;
    private final Map<Long, Consumer<FrontReply>> pendingRequests = new HashMap<>();
    private final Set<Long> links = new HashSet<>();
    /** Connections that the core has closed, but for which it has not yet received {@code ConnectionClosed}. */
    private final Set<Long> closingLinks = new HashSet<>();

    private long nextToken = 1;
    private boolean ready;
    private boolean drained;
    private boolean shuttingDown;

    FakeEntry(SimulatedCluster cluster, Node node, EntryAddress address) {
        this.cluster = cluster;
        this.node = node;
        this.address = address;
        this.core = cluster.newCore(address, this);
        cluster.network().listen(SimulatedCluster.hostPort(address), this);
        node.repeat(cluster.time(), TICK_MILLISECONDS, () -> handle(new EntryEvent.Tick()));
    }

    @Override
    public Node node() {
        return node;
    }

    String region() {
        return SimulatedCluster.regionOf(address.dataCentre());
    }

    /** Returns the number of requests without a reply. */
    int pendingRequests() {
        return pendingRequests.size();
    }

    EntryAddress address() {
        return address;
    }

    boolean isReady() {
        return ready && !node.isDead() && !shuttingDown;
    }

    boolean isDrained() {
        return drained;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    /**
     * Sends a caller's request to the core and returns a token with which the caller can abandon it. If the process is
     * killed, {@code reply} is never called.
     */
    long sendRequest(FrontRequest request, Consumer<FrontReply> reply) {
        long token = nextToken++;
        pendingRequests.put(token, reply);
        node.deliver(() -> handle(new EntryEvent.RequestReceived(token, request)));
        return token;
    }

    void abandon(long token) {
        if (pendingRequests.remove(token) != null) {
            node.deliver(() -> handle(new EntryEvent.RequestAbandoned(token)));
        }
    }

    /** Returns whether a request has no reply yet. */
    boolean isPending(long token) {
        return pendingRequests.containsKey(token);
    }

    void shutDown() {
        shuttingDown = true;
        node.deliver(() -> handle(new EntryEvent.ShutdownRequested()));
    }

    @Override
    public FakeNetwork.Listener accept(long link) {
        links.add(link);
        cluster.trace(node.name(), "accepted link " + link);
        handle(new EntryEvent.ConnectionAccepted(link));
        return listener();
    }

    @Override
    public void send(long link, Message message) {
        cluster.network().send(link, node, message);
    }

    @Override
    public void closeConnection(long link) {
        if (links.remove(link)) {
            cluster.trace(node.name(), "closes link " + link);
            closingLinks.add(link);
            cluster.network().close(link);
            node.deliver(() -> cluster.time()
                    .schedule(
                            0,
                            () -> node.deliver(() -> {
                                closingLinks.remove(link);
                                handle(new EntryEvent.ConnectionClosed(link));
                            })));
        }
    }

    @Override
    public void connect(EntryAddress to) {
        cluster.network().connect(node, SimulatedCluster.hostPort(to), new FakeNetwork.Connector() {
            @Override
            public FakeNetwork.Listener connected(long link) {
                links.add(link);
                cluster.trace(node.name(), "connected to " + to.entry() + " over link " + link);
                handle(new EntryEvent.ConnectionOpened(link, to));
                return listener();
            }

            @Override
            public void failed() {
                handle(new EntryEvent.ConnectFailed(to));
            }
        });
    }

    @Override
    public void callStore(long token, StoreCall call) {
        cluster.store()
                .call(region(), call, reply -> node.deliver(() -> handle(new EntryEvent.StoreReplied(token, reply))));
    }

    @Override
    public void reply(long token, FrontReply reply) {
        Consumer<FrontReply> callback = pendingRequests.remove(token);
        if (callback != null) {
            cluster.time().schedule(1, () -> callback.accept(reply));
        }
    }

    @Override
    public void readinessChanged(boolean nowReady, String reason) {
        ready = nowReady;
    }

    @Override
    public void drained() {
        drained = true;
    }

    @Override
    public void recordDuration(String metric, String team, long milliseconds) {
        // The oracle checks no metrics.
    }

    @Override
    public void log(String message, String job, String team) {
        cluster.trace(node.name(), message + " " + job);
    }

    private FakeNetwork.Listener listener() {
        return new FakeNetwork.Listener() {
            @Override
            public void received(long link, Message message) {
                // Like a socket, a connection delivers no message after its close event.
                if (links.contains(link) || closingLinks.contains(link)) {
                    handle(new EntryEvent.MessageReceived(link, message));
                }
            }

            @Override
            public void closed(long link) {
                if (links.remove(link)) {
                    cluster.trace(node.name(), "link " + link + " closed by the peer");
                    handle(new EntryEvent.ConnectionClosed(link));
                }
            }
        };
    }

    void configurationMayHaveChanged() {
        node.deliver(() -> handle(new EntryEvent.ConfigurationMayHaveChanged()));
    }

    private void handle(EntryEvent event) {
        core.handle(event, cluster.time().nowMilliseconds());
    }
}
