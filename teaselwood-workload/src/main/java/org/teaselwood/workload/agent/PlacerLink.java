package org.teaselwood.workload.agent;

import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.JsonDocuments;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Keeps an agent connected to the elected placer. Confined to one event loop.
 *
 * <p>The store holds the location of the elected placer, and a watch reports changes at once. While the placer does not
 * answer, the key is also polled, because a watch may stall without an error and because the agent needs to know when
 * the store last confirmed that no placer is elected.
 */
public final class PlacerLink {
    private static final Logger LOGGER = LoggerFactory.getLogger(PlacerLink.class);
    private static final long TICK_INTERVAL_MILLISECONDS = 100;
    private static final long READ_INTERVAL_MILLISECONDS = 500;
    private static final long RECONNECT_DELAY_MILLISECONDS = 300;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 700;

    /** Time without an answer, three report intervals, after which a connection is replaced. */
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 1_500;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final KeyValueService store;
    private final SharedKey key;
    private final WorkAgent agent;
    private final NetClient client;
    private PlacerLocation location;
    private MessageConnection connection;
    private boolean connecting;
    private long connectedAt;
    private long nextConnectAt;
    private long nextReadAt;
    private boolean reading;

    /** Creates a link that {@link #start} starts. */
    public PlacerLink(Vertx vertx, MonotonicClock clock, KeyValueService store, SharedKey key, WorkAgent agent) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.key = key;
        this.agent = agent;
        this.client = vertx.createNetClient(new NetClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLISECONDS)
                .setTcpNoDelay(true));
    }

    /** Starts to connect the agent; must be called on the event loop. */
    public void start() {
        openWatch();
        vertx.setPeriodic(TICK_INTERVAL_MILLISECONDS, timer -> tick());
    }

    /** Decodes the value of the election key; returns empty if it is malformed. */
    public static Optional<PlacerLocation> decode(KeyValue item) {
        try {
            JsonObject json = JsonDocuments.parse(item.value());
            return Optional.of(new PlacerLocation(
                    item.revision(),
                    json.getString("entry"),
                    json.getString("host"),
                    Math.toIntExact(json.getLong("port"))));
        } catch (DecodeException
                | ClassCastException
                | NullPointerException
                | ArithmeticException
                | IllegalArgumentException exception) {
            LOGGER.warn("could not decode the election key: {}", exception.getMessage());
            return Optional.empty();
        }
    }

    private void openWatch() {
        store.watch(WorkloadKeys.PLACER, new KeyValueService.WatchListener() {
            @Override
            public void onOpened() {
                vertx.runOnContext(ignored -> readLocation());
            }

            @Override
            public void onChanged(List<KeyValue> changes, long revision) {
                vertx.runOnContext(ignored -> changes.forEach(PlacerLink.this::locationChanged));
            }

            @Override
            public void onFailure(Throwable cause) {
                LOGGER.debug("the watch of the election failed: {}", cause.getMessage());
                vertx.setTimer(RECONNECT_DELAY_MILLISECONDS, timer -> openWatch());
            }
        });
    }

    private void readLocation() {
        if (reading) {
            return;
        }
        reading = true;
        long sentAt = clock.nowMilliseconds();
        nextReadAt = sentAt + READ_INTERVAL_MILLISECONDS;
        store.get(WorkloadKeys.PLACER)
                .subscribe()
                .with(
                        item -> {
                            reading = false;
                            item.ifPresentOrElse(this::locationChanged, () -> agent.noPlacerConfirmed(sentAt));
                        },
                        failure -> {
                            reading = false;
                            LOGGER.debug("could not read the election key: {}", failure.getMessage());
                        });
    }

    private void locationChanged(KeyValue item) {
        if (!item.key().equals(WorkloadKeys.PLACER) || item.value().length == 0) {
            nextReadAt = 0;
            return;
        }
        decode(item)
                .filter(found -> location == null || found.term() > location.term())
                .ifPresent(found -> {
                    LOGGER.info("the placer of term {} is entry {}", found.term(), found.entry());
                    location = found;
                    nextConnectAt = 0;
                    closeConnection();
                    connect();
                });
    }

    private void tick() {
        long now = clock.nowMilliseconds();
        agent.tick();
        boolean answered = now - agent.lastContactAt() <= ANSWER_TIMEOUT_MILLISECONDS;
        if (connection != null && !answered && now - connectedAt > ANSWER_TIMEOUT_MILLISECONDS) {
            LOGGER.info("the placer is unresponsive; reconnecting");
            closeConnection();
        }
        if (!answered && now >= nextReadAt) {
            readLocation();
        }
        connect();
    }

    private void connect() {
        long now = clock.nowMilliseconds();
        if (connection != null || connecting || location == null || now < nextConnectAt) {
            return;
        }
        connecting = true;
        PlacerLocation target = location;
        client.connect(target.port(), target.host()).onComplete(result -> {
            connecting = false;
            nextConnectAt = clock.nowMilliseconds() + RECONNECT_DELAY_MILLISECONDS;
            if (result.failed()) {
                LOGGER.debug(
                        "could not connect to placer {}: {}",
                        target.entry(),
                        result.cause().getMessage());
            } else if (target.equals(location)) {
                connectedAt = clock.nowMilliseconds();
                connection =
                        MessageConnection.connect(result.result(), key, new PlacerConnectionListener(target.term()));
            } else {
                result.result().close();
            }
        });
    }

    private void closeConnection() {
        if (connection != null) {
            MessageConnection closing = connection;
            connection = null;
            agent.disconnected();
            closing.close();
        }
    }

    private final class PlacerConnectionListener implements MessageConnection.Listener {
        private final long term;

        PlacerConnectionListener(long term) {
            this.term = term;
        }

        @Override
        public void opened(MessageConnection opened) {
            if (opened == connection) {
                agent.connected(term, opened::send);
            }
        }

        @Override
        public void received(MessageConnection from, Message message) {
            if (from != connection) {
                return;
            }
            if (message instanceof WorkMessage work) {
                agent.received(work);
            } else {
                LOGGER.warn("ignored {} from the placer", message.getClass().getSimpleName());
            }
        }

        @Override
        public void closed(MessageConnection closed) {
            if (closed == connection) {
                LOGGER.info("the connection to the placer was closed");
                connection = null;
                agent.disconnected();
                nextReadAt = 0;
            }
        }
    }
}
