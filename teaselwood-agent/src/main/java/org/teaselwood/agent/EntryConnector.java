package org.teaselwood.agent;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.agent.core.AgentEvent;
import org.teaselwood.agent.core.EntryDirectory;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.Message;

/**
 * Maintains a connection to one entry. Thread-safe: entries are selected and connected to on one event loop, messages
 * may be sent from any thread. A connection is closed if the core cannot accept a command, because the entry sends its
 * commands again on the next connection.
 */
final class EntryConnector {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryConnector.class);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
    private static final long HANDSHAKE_TIMEOUT_MILLISECONDS = 3_000;

    /** Delay before an agent reconnects from another data centre to its own, so that the entries there are stable. */
    private static final long RETURN_DELAY_MILLISECONDS = 30_000;

    private final Vertx vertx;
    private final Context context;
    private final NetClient client;
    private final SharedKey key;
    private final EntryDirectory directory;
    private final EventSink sink;
    private final Map<Long, MessageConnection> connections = new ConcurrentHashMap<>();

    /** Number of the last connection. Accessed on the event loop only. */
    private long lastLinkNumber;

    private boolean connecting;

    /** Accepts events for the core; returns false if the ring buffer is full. */
    @FunctionalInterface
    interface EventSink {
        boolean offer(AgentEvent event);
    }

    EntryConnector(Vertx vertx, NetClientOptions options, SharedKey key, EntryDirectory directory, EventSink sink) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.client = vertx.createNetClient(options.setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
        this.key = key;
        this.directory = directory;
        this.sink = sink;
    }

    /** Connects to the next entry. An open connection is used until the new one has opened. */
    void connect() {
        context.runOnContext(ignored -> connectNext());
    }

    void entriesReceived(String connectedEntry, List<EntryAddress> entries) {
        context.runOnContext(ignored -> {
            directory.updateEntries(connectedEntry, entries);
            if (directory.shouldChangeDataCentre()) {
                long delay = RETURN_DELAY_MILLISECONDS + directory.delayMilliseconds();
                vertx.setTimer(delay, timer -> returnToOwnDataCentre());
            }
        });
    }

    private void returnToOwnDataCentre() {
        if (directory.shouldChangeDataCentre()) {
            connectNext();
        }
    }

    void send(long link, AgentMessage message) {
        MessageConnection connection = connections.get(link);
        if (connection != null) {
            connection.send(message);
        }
    }

    void close(long link) {
        MessageConnection connection = connections.get(link);
        if (connection != null) {
            connection.close();
        }
    }

    private void connectNext() {
        if (connecting) {
            return;
        }
        connecting = true;
        EntryAddress address = directory.nextEntry();
        client.connect(address.port(), address.host())
                .onSuccess(this::connected)
                .onFailure(failure -> {
                    LOGGER.warn(
                            "cannot connect to entry {}:{}: {}", address.host(), address.port(), failure.toString());
                    connecting = false;
                    reconnectLater();
                });
    }

    private void connected(NetSocket socket) {
        lastLinkNumber++;
        Link link = new Link(lastLinkNumber);
        MessageConnection connection = MessageConnection.connect(socket, key, link);
        vertx.setTimer(HANDSHAKE_TIMEOUT_MILLISECONDS, ignored -> {
            if (!connection.isOpen() && !link.closed) {
                connection.close();
            }
        });
    }

    /** Connects to the next entry after a delay, unless a connection is open. */
    private void reconnectLater() {
        directory.recordFailure();
        if (connections.isEmpty()) {
            vertx.setTimer(directory.delayMilliseconds(), ignored -> connectUnlessConnected());
        }
    }

    private void connectUnlessConnected() {
        if (connections.isEmpty()) {
            connectNext();
        }
    }

    /** Listener of one connection, called on its event loop. */
    private final class Link implements MessageConnection.Listener {
        private final long number;
        private boolean closed;

        Link(long number) {
            this.number = number;
        }

        @Override
        public void opened(MessageConnection connection) {
            connecting = false;
            connections.put(number, connection);
            if (!sink.offer(new AgentEvent.ConnectionOpened(number))) {
                connection.close();
            }
        }

        @Override
        public void received(MessageConnection connection, Message message) {
            boolean accepted = message instanceof AgentCommand command
                    && sink.offer(new AgentEvent.CommandReceived(number, command));
            if (!accepted) {
                LOGGER.warn(
                        "closing the connection to the entry: {} is not a command, or the event ring buffer is full",
                        message.getClass().getSimpleName());
                connection.close();
            }
        }

        @Override
        public void closed(MessageConnection connection) {
            closed = true;
            if (connections.remove(number) == null) {
                connecting = false;
            } else {
                sink.offer(new AgentEvent.ConnectionClosed(number));
            }
            if (!connecting) {
                reconnectLater();
            }
        }
    }
}
