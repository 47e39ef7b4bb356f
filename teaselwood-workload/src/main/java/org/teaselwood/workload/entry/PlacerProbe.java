package org.teaselwood.workload.entry;

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
 * Notices the death of the placer's process before its lease ends. Confined to one event loop.
 *
 * <p>An open connection is closed by the operating system when the process dies, and a connection to a port without a
 * listener is refused. Silence proves nothing and is left to the lease. A mistake does no harm: the takeover is a
 * conditional write, and a placer that was replaced can neither write nor order.
 */
final class PlacerProbe {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacerProbe.class);
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;

    /** A refusal is believed when it is repeated after this time. */
    private static final long CONFIRM_MILLISECONDS = 100;

    /** Pause before connecting again after an attempt without a result. */
    private static final long RETRY_MILLISECONDS = 1_000;

    private final Vertx vertx;
    private final NetClient client;
    private final LongConsumer dead;
    private PlacerLocation location;
    private NetSocket socket;

    /**
     * A probe that follows nobody yet.
     *
     * @param dead told the term whose placer has no listener any more
     */
    PlacerProbe(Vertx vertx, LongConsumer dead) {
        this.vertx = vertx;
        this.dead = dead;
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS));
    }

    /** Follows the placer of a term; the former one is let go. */
    void follow(PlacerLocation placer) {
        if (location == null || location.term() != placer.term()) {
            release();
            location = placer;
            connect(placer, false);
        }
    }

    /** Follows nobody. */
    void release() {
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
                socket.closeHandler(closed -> again(placer, 1, false));
            } else if (!(result.cause() instanceof ConnectException)) {
                again(placer, RETRY_MILLISECONDS, false);
            } else if (refusedBefore) {
                LOGGER.info("placer {} of term {} has no listener", placer.entry(), placer.term());
                dead.accept(placer.term());
                again(placer, RETRY_MILLISECONDS, false);
            } else {
                again(placer, CONFIRM_MILLISECONDS, true);
            }
        });
    }

    private void again(PlacerLocation placer, long pause, boolean refusedBefore) {
        vertx.setTimer(pause, timer -> {
            if (location == placer) {
                connect(placer, refusedBefore);
            }
        });
    }
}
