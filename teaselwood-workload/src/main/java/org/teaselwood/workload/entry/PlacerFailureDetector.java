package org.teaselwood.workload.entry;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.workload.agent.PlacerLocation;

/**
 * Detects the end of the placer's process before its lease expires. Confined to one event loop.
 *
 * <p>The operating system closes the open connections of a process that ends, and refuses connections to a port without
 * a listener. A missing response proves nothing, so that this case is left to the expiry of the lease. A false
 * detection is harmless: the takeover is a conditional write, and a replaced placer can neither write nor give orders.
 */
final class PlacerFailureDetector {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacerFailureDetector.class);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;

    /** Delay before a refused connection is retried; only a second refusal counts as the end of the process. */
    private static final long CONFIRMATION_DELAY_MILLISECONDS = 100;

    /** Delay before the next attempt to connect after an inconclusive result. */
    private static final long RETRY_DELAY_MILLISECONDS = 1_000;

    private final Vertx vertx;
    private final NetClient client;
    private final LongConsumer failureListener;
    private PlacerLocation location;
    private NetSocket socket;

    /**
     * Creates a detector that monitors no placer yet.
     *
     * @param failureListener called with the term whose placer no longer has a listener
     */
    PlacerFailureDetector(Vertx vertx, LongConsumer failureListener) {
        this.vertx = vertx;
        this.failureListener = failureListener;
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
    }

    /** Monitors the placer of a term instead of the previous one. */
    void monitor(PlacerLocation placer) {
        if (location == null || location.term() != placer.term()) {
            stopMonitoring();
            location = placer;
            connect(placer, false);
        }
    }

    /** Stops monitoring. */
    void stopMonitoring() {
        location = null;
        if (socket != null) {
            socket.close();
            socket = null;
        }
    }

    private void connect(PlacerLocation placer, boolean refusedBefore) {
        client.connect(placer.port(), placer.host()).onComplete(result -> {
            if (location != placer) {
                if (result.succeeded()) {
                    result.result().close();
                }
            } else if (result.succeeded()) {
                socket = result.result();
                socket.closeHandler(closed -> reconnectLater(placer, 1, false));
            } else if (!isRefusal(result.cause())) {
                reconnectLater(placer, RETRY_DELAY_MILLISECONDS, false);
            } else if (refusedBefore) {
                LOGGER.info("placer {} of term {} refuses connections", placer.entry(), placer.term());
                failureListener.accept(placer.term());
                reconnectLater(placer, RETRY_DELAY_MILLISECONDS, false);
            } else {
                reconnectLater(placer, CONFIRMATION_DELAY_MILLISECONDS, true);
            }
        });
    }

    /**
     * Returns whether the host of the placer refused the connection. A timeout is no refusal: during a network
     * partition the placer remains elected and two entries would take the election from each other.
     */
    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void reconnectLater(PlacerLocation placer, long delayMilliseconds, boolean refusedBefore) {
        vertx.setTimer(delayMilliseconds, timer -> {
            if (location == placer) {
                connect(placer, refusedBefore);
            }
        });
    }
}
