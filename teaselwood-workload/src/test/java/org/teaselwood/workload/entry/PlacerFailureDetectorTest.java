package org.teaselwood.workload.entry;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.teaselwood.workload.agent.PlacerLocation;

/**
 * Guards against entries that take the election from each other about once a second while a network partition separates
 * them: no placer would stay long enough to place anything.
 */
final class PlacerFailureDetectorTest {
    private static final long TERM = 7;

    /** Longer than two attempts to connect that time out. */
    private static final long OBSERVATION_MILLISECONDS = 2_500;

    private static final int PENDING_CONNECTIONS = 8;

    private final Vertx vertx = Vertx.vertx();
    private final LinkedBlockingQueue<Long> failures = new LinkedBlockingQueue<>();
    private final PlacerFailureDetector detector = new PlacerFailureDetector(vertx, failures::add);
    private final List<SocketChannel> pending = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (SocketChannel channel : pending) {
            channel.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void a_placer_whose_port_is_closed_has_failed() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        monitor(port);
        assertThat(failures.poll(OBSERVATION_MILLISECONDS, TimeUnit.MILLISECONDS))
                .isEqualTo(TERM);
    }

    @Test
    void a_placer_that_does_not_answer_attempts_to_connect_has_not_failed() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fillBacklog(socket);
            monitor(socket.getLocalPort());
            assertThat(failures.poll(OBSERVATION_MILLISECONDS, TimeUnit.MILLISECONDS))
                    .isNull();
        }
    }

    /** Opens connections that are never accepted, until the kernel drops further attempts like a partition does. */
    private void fillBacklog(ServerSocket socket) throws IOException {
        for (int count = 0; count < PENDING_CONNECTIONS; count++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(socket.getLocalSocketAddress());
            pending.add(channel);
        }
    }

    private void monitor(int port) {
        vertx.runOnContext(ignored -> detector.monitor(new PlacerLocation(
                TERM, "entry", InetAddress.getLoopbackAddress().getHostAddress(), port)));
    }
}
