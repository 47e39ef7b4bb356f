package org.teaselwood.entry.process;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToLongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.entry.core.EntryEvent;
import org.teaselwood.metrics.ProcessMetrics;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.Message;

/**
 * TCP connections of an entry to agents and other entries. The core identifies a connection by a number that is unique
 * in the process. Thread-safe.
 *
 * <p>For each number the core receives one ConnectionAccepted or ConnectionOpened, then messages, then one
 * ConnectionClosed. If the ring buffer is full and rejects an event of a connection, the connection is closed, because
 * the core must not miss a message of an open connection.
 */
final class EntryLinks {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryLinks.class);

    private static final long HANDSHAKE_TIMEOUT_MILLISECONDS = 3_000;

    private final Vertx vertx;
    private final InternalSettings settings;
    private final SharedKey key;
    private final ProcessMetrics metrics;
    private final AtomicLong lastNumber = new AtomicLong();
    private final Map<Long, MessageConnection> links = new ConcurrentHashMap<>();
    private final AtomicLong closedBytesSent = new AtomicLong();
    private final AtomicLong closedBytesReceived = new AtomicLong();
    private NetServer server;
    private NetClient client;
    private volatile EventSink sink;

    EntryLinks(Vertx vertx, InternalSettings settings, ProcessMetrics metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.key = settings.sharedKey();
        this.metrics = metrics;
        metrics.counter(
                "control.bytes",
                "sent",
                this,
                links -> links.totalBytes(closedBytesSent, MessageConnection::bytesSent));
        metrics.counter(
                "control.bytes",
                "received",
                this,
                links -> links.totalBytes(closedBytesReceived, MessageConnection::bytesReceived));
        metrics.gauge("links", links, Map::size);
    }

    /** Starts to listen; connections are closed on arrival until {@link #start} is called. */
    Future<Integer> listen() {
        client = vertx.createNetClient(settings.clientOptions());
        return vertx.createNetServer(settings.serverOptions())
                .connectHandler(this::accepted)
                .exceptionHandler(exception -> LOGGER.warn("connection rejected: {}", exception.toString()))
                .listen()
                .map(listening -> {
                    server = listening;
                    return listening.actualPort();
                });
    }

    /** Starts to accept connections and to deliver their events to the sink. */
    void start(EventSink target) {
        sink = target;
    }

    /** Sends a message; the message is lost if the connection is not open. */
    void send(long link, Message message) {
        MessageConnection connection = links.get(link);
        if (connection == null) {
            return;
        }
        try {
            connection.send(message);
        } catch (TeaselwoodException exception) {
            metrics.increment("messages.dropped");
            LOGGER.error("message {} was not sent: {}", message.getClass().getSimpleName(), exception.getMessage());
        }
    }

    /** Closes a connection. */
    void close(long link) {
        MessageConnection connection = links.get(link);
        if (connection != null) {
            connection.close();
        }
    }

    /** Opens a connection to another entry; ends in ConnectionOpened or ConnectFailed. */
    void connect(EntryAddress address) {
        client.connect(address.port(), address.host())
                .onSuccess(socket -> limitHandshake(MessageConnection.connect(socket, key, new LinkListener(address))))
                .onFailure(exception -> {
                    LOGGER.debug("cannot connect to entry {}: {}", address, exception.toString());
                    sink.deliver(new EntryEvent.ConnectFailed(address));
                });
    }

    /** Closes the server and all connections. */
    Future<Void> close() {
        links.values().forEach(MessageConnection::close);
        Future<Void> closedServer = server == null ? Future.succeededFuture() : server.close();
        return closedServer.eventually(() -> client == null ? Future.succeededFuture() : client.close());
    }

    private void accepted(NetSocket socket) {
        if (sink == null) {
            socket.close();
            return;
        }
        limitHandshake(MessageConnection.accept(socket, key, new LinkListener(null)));
    }

    /** Closes the connection if the peer does not complete the handshake in time. */
    private void limitHandshake(MessageConnection connection) {
        vertx.setTimer(HANDSHAKE_TIMEOUT_MILLISECONDS, ignored -> {
            if (!connection.isOpen()) {
                connection.close();
            }
        });
    }

    private double totalBytes(AtomicLong closed, ToLongFunction<MessageConnection> count) {
        return closed.get() + links.values().stream().mapToLong(count).sum();
    }

    /** Delivers the events of one connection to the core. Confined to the event loop of the connection. */
    private final class LinkListener implements MessageConnection.Listener {
        private final long number = lastNumber.incrementAndGet();
        private final EntryAddress address;
        private boolean announced;
        private boolean broken;

        LinkListener(EntryAddress address) {
            this.address = address;
        }

        @Override
        public void opened(MessageConnection connection) {
            links.put(number, connection);
            EntryEvent event = address == null
                    ? new EntryEvent.ConnectionAccepted(number)
                    : new EntryEvent.ConnectionOpened(number, address);
            announced = sink.offer(event);
            closeUnless(announced, connection);
        }

        @Override
        public void received(MessageConnection connection, Message message) {
            if (!broken) {
                closeUnless(sink.offer(new EntryEvent.MessageReceived(number, message)), connection);
            }
        }

        @Override
        public void closed(MessageConnection connection) {
            broken = true;
            links.remove(number);
            closedBytesSent.addAndGet(connection.bytesSent());
            closedBytesReceived.addAndGet(connection.bytesReceived());
            if (announced) {
                sink.deliver(new EntryEvent.ConnectionClosed(number));
            } else if (address != null) {
                sink.deliver(new EntryEvent.ConnectFailed(address));
            }
        }

        private void closeUnless(boolean delivered, MessageConnection connection) {
            if (!delivered) {
                broken = true;
                connection.close();
            }
        }
    }
}
