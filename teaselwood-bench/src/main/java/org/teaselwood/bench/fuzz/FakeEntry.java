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

    private final World world;
    private final Node node;
    private final EntryAddress address;
    private final EntryCore core;
    private final Map<Long, Consumer<FrontReply>> openRequests = new HashMap<>();
    private final Set<Long> links = new HashSet<>();
    /** Connections that the core has closed, but for which it has not yet received {@code LinkClosed}. */
    private final Set<Long> closing = new HashSet<>();

    private long nextToken = 1;
    private boolean ready;
    private boolean drained;
    private boolean leaving;

    FakeEntry(World world, Node node, EntryAddress address) {
        this.world = world;
        this.node = node;
        this.address = address;
        this.core = world.newCore(address, this);
        world.network().listen(World.hostPort(address), this);
        node.repeat(world.time(), TICK_MILLISECONDS, () -> handle(new EntryEvent.Tick()));
    }

    @Override
    public Node node() {
        return node;
    }

    String region() {
        return World.regionOf(address.dataCentre());
    }

    /** Returns the number of requests without a reply. */
    int openRequests() {
        return openRequests.size();
    }

    EntryAddress address() {
        return address;
    }

    boolean isReady() {
        return ready && !node.isDead() && !leaving;
    }

    boolean isDrained() {
        return drained;
    }

    boolean isLeaving() {
        return leaving;
    }

    /**
     * Sends a caller's request to the core and returns a token with which the caller can abandon it. If the process is
     * killed, {@code reply} is never called.
     */
    long ask(FrontRequest request, Consumer<FrontReply> reply) {
        long token = nextToken++;
        openRequests.put(token, reply);
        node.deliver(() -> handle(new EntryEvent.FrontRequested(token, request)));
        return token;
    }

    void abandon(long token) {
        if (openRequests.remove(token) != null) {
            node.deliver(() -> handle(new EntryEvent.FrontAbandoned(token)));
        }
    }

    /** Returns whether a request has no reply yet. */
    boolean isOpen(long token) {
        return openRequests.containsKey(token);
    }

    void shutDown() {
        leaving = true;
        node.deliver(() -> handle(new EntryEvent.ShutdownRequested()));
    }

    @Override
    public FakeNetwork.Listener accept(long link) {
        links.add(link);
        world.trace(node.name(), "accepted link " + link);
        handle(new EntryEvent.LinkAccepted(link));
        return listener();
    }

    @Override
    public void send(long link, Message message) {
        world.network().send(link, node, message);
    }

    @Override
    public void closeLink(long link) {
        if (links.remove(link)) {
            world.trace(node.name(), "closes link " + link);
            closing.add(link);
            world.network().close(link);
            node.deliver(() -> world.time()
                    .schedule(
                            0,
                            () -> node.deliver(() -> {
                                closing.remove(link);
                                handle(new EntryEvent.LinkClosed(link));
                            })));
        }
    }

    @Override
    public void connect(EntryAddress to) {
        world.network().connect(node, World.hostPort(to), new FakeNetwork.Connector() {
            @Override
            public FakeNetwork.Listener connected(long link) {
                links.add(link);
                world.trace(node.name(), "connected to " + to.entry() + " over link " + link);
                handle(new EntryEvent.LinkConnected(link, to));
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
        world.store()
                .call(region(), call, reply -> node.deliver(() -> handle(new EntryEvent.StoreReplied(token, reply))));
    }

    @Override
    public void reply(long token, FrontReply reply) {
        Consumer<FrontReply> waiting = openRequests.remove(token);
        if (waiting != null) {
            world.time().schedule(1, () -> waiting.accept(reply));
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
    public void observed(String metric, String team, long milliseconds) {
        // The oracle checks no metrics.
    }

    @Override
    public void logged(String message, String job, String team) {
        world.trace(node.name(), message + " " + job);
    }

    private FakeNetwork.Listener listener() {
        return new FakeNetwork.Listener() {
            @Override
            public void received(long link, Message message) {
                // Like a socket, a connection delivers no message after its close event.
                if (links.contains(link) || closing.contains(link)) {
                    handle(new EntryEvent.MessageReceived(link, message));
                }
            }

            @Override
            public void closed(long link) {
                if (links.remove(link)) {
                    world.trace(node.name(), "link " + link + " closed by the peer");
                    handle(new EntryEvent.LinkClosed(link));
                }
            }
        };
    }

    void configurationMayHaveChanged() {
        node.deliver(() -> handle(new EntryEvent.ConfigurationMayHaveChanged()));
    }

    private void handle(EntryEvent event) {
        core.handle(event, world.time().nowMilliseconds());
    }
}
