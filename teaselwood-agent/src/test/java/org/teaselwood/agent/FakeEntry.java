package org.teaselwood.agent;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.Message;

/** An entry that accepts one agent, replies to its hello and heartbeats, and records the messages received. */
final class FakeEntry implements MessageConnection.Listener {
    private static final long TIMEOUT_MILLISECONDS = 10_000;

    private final NetServer server;
    private final String name;
    private final List<AgentMessage> received = new CopyOnWriteArrayList<>();
    private volatile MessageConnection connection;
    private volatile boolean repliesToHeartbeats = true;

    FakeEntry(Vertx vertx, String name, SharedKey key, int port) throws Exception {
        this.name = name;
        this.server = vertx.createNetServer(new NetServerOptions().setHost("127.0.0.1"))
                .connectHandler(socket -> MessageConnection.accept(socket, key, this));
        server.listen(port).toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    int port() {
        return server.actualPort();
    }

    MessageConnection connection() {
        return connection;
    }

    void stopReplyingToHeartbeats() {
        repliesToHeartbeats = false;
    }

    /** Discards the recorded messages. */
    void clearReceived() {
        received.clear();
    }

    void send(AgentCommand command) {
        connection.send(command);
    }

    AgentCommand.EntryAddress address() {
        return new AgentCommand.EntryAddress(name, "d", "127.0.0.1", port());
    }

    /** Waits for a message of the type that meets the condition, and returns the first such message. */
    <T extends AgentMessage> T await(Class<T> type, Predicate<T> condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (System.nanoTime() < deadline) {
            for (AgentMessage message : received) {
                if (type.isInstance(message) && condition.test(type.cast(message))) {
                    return type.cast(message);
                }
            }
            Thread.sleep(5);
        }
        throw new AssertionError("no " + type.getSimpleName() + " among " + received);
    }

    @Override
    public void opened(MessageConnection opened) {
        connection = opened;
    }

    @Override
    public void received(MessageConnection from, Message message) {
        received.add((AgentMessage) message);
        switch (message) {
            case AgentMessage.AgentHello ignored -> from.send(new AgentCommand.Welcome(name, List.of(address())));
            case AgentMessage.AgentHeartbeat heartbeat
            when repliesToHeartbeats -> from.send(new AgentCommand.HeartbeatReply(heartbeat.sequence()));
            default -> {
                // Recorded above; needs no reply.
            }
        }
    }

    @Override
    public void closed(MessageConnection closed) {
        received.clear();
    }
}
