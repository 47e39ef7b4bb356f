package org.teaselwood.bench.fuzz;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.teaselwood.protocol.message.Message;

/**
 * Connections between simulated processes. Like TCP, a connection either delivers messages in order or breaks. Unlike
 * TCP, it may deliver a message twice while duplication is enabled, which tests that every message of the protocol is
 * idempotent. A network partition between two data centres, possibly in one direction only, delays messages until it
 * ends. Confined to the thread of its virtual time.
 */
final class FakeNetwork {
    private static final long LOSS_DETECTION_MILLISECONDS = 15_000;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final Map<String, Acceptor> acceptors = new HashMap<>();
    private final Set<String> partitions = new TreeSet<>();
    private final List<Connection> connections = new ArrayList<>();
    private final Map<Long, Connection> connectionsByLink = new HashMap<>();
    private long nextLink = 1;
    private long extraDelayMilliseconds;
    private double duplicationProbability;

    /** Accepts the connections to one process. */
    interface Acceptor {
        /** Returns the listening process. */
        Node node();

        /** Accepts a connection and returns the listener of the accepting end. */
        Listener accept(long link);
    }

    /** Receives the events of one end of a connection. */
    interface Listener {
        /** Called when a message has arrived. */
        void received(long link, Message message);

        /** Called when the connection has closed. */
        void closed(long link);
    }

    /** Receives the result of an attempt to connect. */
    interface Connector {
        /** Called when the connection is open; returns the listener of the connecting end. */
        Listener connected(long link);

        /** Called when no process listens at the address or it is unreachable. */
        void failed();
    }

    FakeNetwork(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    void listen(String address, Acceptor acceptor) {
        acceptors.put(address, acceptor);
    }

    void connect(Node from, String address, Connector connector) {
        Acceptor acceptor = acceptors.get(address);
        time.schedule(
                delay(),
                () -> from.deliver(() -> {
                    if (acceptor == null
                            || acceptor.node().isDead()
                            || isPartitioned(from, acceptor.node())
                            || isPartitioned(acceptor.node(), from)) {
                        connector.failed();
                        return;
                    }
                    open(from, acceptor, connector);
                }));
    }

    void send(long link, Node from, Message message) {
        Connection connection = connectionOf(link);
        if (connection != null) {
            connection.send(link, from, message);
        }
    }

    void close(long link) {
        Connection connection = connectionOf(link);
        if (connection != null) {
            connection.close(link);
        }
    }

    /** Breaks the connections of a process. Its peers are notified at once, or after 15 s if its VM is lost. */
    void disconnect(Node node, boolean notifyPeers) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.hasEndpoint(node))
                .forEach(connection -> {
                    remove(connection);
                    if (notifyPeers) {
                        connection.notifyPeerOf(node, delay());
                    } else {
                        connection.notifyPeerOf(node, LOSS_DETECTION_MILLISECONDS);
                    }
                });
    }

    void partition(String fromDataCentre, String toDataCentre) {
        partitions.add(fromDataCentre + ">" + toDataCentre);
    }

    void removeFaults() {
        partitions.clear();
        extraDelayMilliseconds = 0;
        duplicationProbability = 0;
        List.copyOf(connections).forEach(Connection::flush);
    }

    boolean isFaultFree() {
        return partitions.isEmpty() && extraDelayMilliseconds == 0;
    }

    void setExtraDelay(long milliseconds) {
        extraDelayMilliseconds = milliseconds;
    }

    void setDuplicationProbability(double probability) {
        duplicationProbability = probability;
    }

    private long delay() {
        long extra = extraDelayMilliseconds == 0 ? 0 : random.nextLong(extraDelayMilliseconds);
        return 1 + random.nextLong(2) + extra;
    }

    private boolean isPartitioned(Node from, Node to) {
        return partitions.contains(from.dataCentre() + ">" + to.dataCentre());
    }

    private void open(Node from, Acceptor acceptor, Connector connector) {
        Connection connection = new Connection(from, acceptor.node(), nextLink, nextLink + 1);
        nextLink += 2;
        connections.add(connection);
        connectionsByLink.put(connection.connectingLink, connection);
        connectionsByLink.put(connection.acceptingLink, connection);
        time.schedule(
                0,
                () -> acceptor.node().deliver(() -> {
                    connection.acceptingListener = acceptor.accept(connection.acceptingLink);
                    connection.flush();
                }));
        connection.connectingListener = connector.connected(connection.connectingLink);
    }

    private void remove(Connection connection) {
        connections.remove(connection);
        connectionsByLink.remove(connection.connectingLink);
        connectionsByLink.remove(connection.acceptingLink);
    }

    private Connection connectionOf(long link) {
        return connectionsByLink.get(link);
    }

    /** A connection with two ends. */
    private final class Connection {
        private final Node connecting;
        private final Node accepting;
        private final long connectingLink;
        private final long acceptingLink;
        private final Queue<Message> messagesToAccepting = new ArrayDeque<>();
        private final Queue<Message> messagesToConnecting = new ArrayDeque<>();
        private Listener connectingListener;
        private Listener acceptingListener;
        private long lastDeliveryToAccepting;
        private long lastDeliveryToConnecting;

        Connection(Node connecting, Node accepting, long connectingLink, long acceptingLink) {
            this.connecting = connecting;
            this.accepting = accepting;
            this.connectingLink = connectingLink;
            this.acceptingLink = acceptingLink;
        }

        boolean hasEndpoint(Node node) {
            return connecting == node || accepting == node;
        }

        void send(long link, Node from, Message message) {
            (link == connectingLink ? messagesToAccepting : messagesToConnecting).add(message);
            flush();
        }

        void flush() {
            if (acceptingListener != null && !isPartitioned(connecting, accepting)) {
                lastDeliveryToAccepting = deliverAll(
                        messagesToAccepting, accepting, acceptingLink, acceptingListener, lastDeliveryToAccepting);
            }
            if (connectingListener != null && !isPartitioned(accepting, connecting)) {
                lastDeliveryToConnecting = deliverAll(
                        messagesToConnecting, connecting, connectingLink, connectingListener, lastDeliveryToConnecting);
            }
        }

        private long deliverAll(Queue<Message> queue, Node to, long link, Listener listener, long last) {
            long due = last;
            while (!queue.isEmpty()) {
                Message message = queue.poll();
                due = Math.max(due, time.nowMilliseconds() + delay());
                Runnable step = () -> to.deliver(() -> listener.received(link, message));
                time.schedule(due - time.nowMilliseconds(), step);
                if (duplicationProbability > 0 && random.nextDouble() < duplicationProbability) {
                    time.schedule(due - time.nowMilliseconds() + delay(), step);
                }
            }
            return due;
        }

        void close(long link) {
            remove(this);
            Node peer = link == connectingLink ? accepting : connecting;
            Node self = link == connectingLink ? connecting : accepting;
            notifyPeerOf(self, isPartitioned(self, peer) ? LOSS_DETECTION_MILLISECONDS : delay());
        }

        void notifyPeerOf(Node node, long delayMilliseconds) {
            boolean isConnecting = node == connecting;
            Node peer = isConnecting ? accepting : connecting;
            Listener listener = isConnecting ? acceptingListener : connectingListener;
            long link = isConnecting ? acceptingLink : connectingLink;
            long last = isConnecting ? lastDeliveryToAccepting : lastDeliveryToConnecting;
            if (listener != null) {
                long due = Math.max(last - time.nowMilliseconds(), delayMilliseconds);
                time.schedule(due, () -> peer.deliver(() -> listener.closed(link)));
            }
        }
    }
}
