package org.teaselwood.protocol;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.message.WorkMessage;

/**
 * Guards against a connection that is closed because many orders are sent at once, which loses the acknowledgements
 * that follow them, and against a queue that grows without bound while the peer does not read.
 */
final class MessageConnectionTest {
    private static final int MESSAGES = 1_000;
    private static final long TIMEOUT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final CompletableFuture<MessageConnection> accepted = new CompletableFuture<>();
    private final CountDownLatch received = new CountDownLatch(MESSAGES);
    private final CountDownLatch bothClosed = new CountDownLatch(2);

    /** Context of the client's socket, which may be used only there. */
    private final Context clientContext = vertx.getOrCreateContext();

    private NetSocket clientSocket;

    @BeforeEach
    void connect() throws Exception {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> MessageConnection.accept(socket, SharedKey.withoutSecret(), new Receiver()));
        int port = await(server.listen(0, "127.0.0.1")).actualPort();
        clientContext.runOnContext(ignored -> vertx.createNetClient()
                .connect(port, "127.0.0.1")
                .onSuccess(socket -> {
                    clientSocket = socket;
                    MessageConnection.connect(socket, SharedKey.withoutSecret(), new Receiver());
                }));
        accepted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    @Test
    void many_messages_that_another_thread_sends_at_once_all_arrive() throws Exception {
        for (int number = 0; number < MESSAGES; number++) {
            assertThat(accepted.get().send(order(number, 100))).isTrue();
        }
        assertThat(received.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(accepted.get().isOpen()).isTrue();
    }

    @Test
    void the_connection_to_a_peer_that_does_not_read_is_closed() throws Exception {
        CompletableFuture<Void> paused = new CompletableFuture<>();
        clientContext.runOnContext(ignored -> {
            clientSocket.pause();
            paused.complete(null);
        });
        paused.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        int sent = 0;
        while (sent < MESSAGES && accepted.get().send(order(sent, 100_000))) {
            sent++;
            Thread.sleep(1);
        }
        assertThat(sent).isLessThan(MESSAGES);
        assertThat(accepted.get().isOpen()).isFalse();
        clientContext.runOnContext(ignored -> clientSocket.close());
        assertThat(bothClosed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    private static WorkMessage order(int number, int payloadCharacters) {
        return new WorkMessage.StartTask(
                1, 1, "server", 1, "job.0.0." + number, 1, "x".repeat(payloadCharacters), "", "");
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Both sides use this listener; the accepting side is the first that opens. */
    private final class Receiver implements MessageConnection.Listener {
        @Override
        public void opened(MessageConnection connection) {
            accepted.complete(connection);
        }

        @Override
        public void received(MessageConnection connection, Message message) {
            received.countDown();
        }

        @Override
        public void closed(MessageConnection connection) {
            bothClosed.countDown();
        }
    }
}
