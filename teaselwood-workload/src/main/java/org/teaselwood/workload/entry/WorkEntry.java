package org.teaselwood.workload.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.DutyThread;
import org.teaselwood.protocol.MessageConnection;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.SharedKey;
import org.teaselwood.protocol.message.Message;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.store.KeyValue;
import org.teaselwood.store.KeyValueService;
import org.teaselwood.workload.model.WorkloadConfiguration;
import org.teaselwood.workload.model.WorkloadTimings;
import org.teaselwood.workload.placer.AgentConnection;
import org.teaselwood.workload.record.WorkloadKeys;

/**
 * Work placement in an entry process: election, duty thread of the placer, connections of agents. Thread-safe.
 */
public final class WorkEntry {
    private static final Logger LOGGER = LoggerFactory.getLogger(WorkEntry.class);
    private static final int RING_BUFFER_EVENTS = 8_192;
    private static final long TICK_INTERVAL_MILLISECONDS = 50;
    private static final long WATCH_RETRY_DELAY_MILLISECONDS = 200;

    private final Vertx vertx;
    private final KeyValueService store;
    private final SharedKey key;
    private final TermElection.Candidate candidate;
    private final PlacerEventHandler placerEvents;
    private final TermElection election;
    private final AtomicLong acceptedConnections = new AtomicLong();

    /** Creates the placement part of an entry, which {@link #start} starts. */
    public WorkEntry(
            Vertx vertx,
            MonotonicClock clock,
            KeyValueService store,
            AdviceService advice,
            SharedKey key,
            TermElection.Candidate candidate,
            WorkloadTimings timings,
            JobTimeRecorder timeRecorder) {
        this.vertx = vertx;
        this.store = store;
        this.key = key;
        this.candidate = candidate;
        this.placerEvents =
                new PlacerEventHandler(store, advice, timings, timeRecorder, new PlacerEventHandler.TermListener() {
                    @Override
                    public void termLost(long term) {
                        vertx.runOnContext(ignored -> election.termLost(term));
                    }

                    @Override
                    public void placerFailed(long term) {
                        vertx.runOnContext(ignored -> election.placerFailed(term));
                    }
                });
        this.placerEvents.runOn(
                new DutyThread<>("placer", RING_BUFFER_EVENTS, TICK_INTERVAL_MILLISECONDS, clock, placerEvents));
        this.election = new TermElection(vertx, clock, store, candidate, new TermElection.Listener() {
            @Override
            public void elected(long term) {
                placerEvents.offer(new PlacerEvent.Elected(term));
            }

            @Override
            public void renewed(long sentAtMilliseconds) {
                placerEvents.renewed(sentAtMilliseconds);
            }

            @Override
            public void steppedDown() {
                placerEvents.offer(new PlacerEvent.SteppedDown());
            }
        });
    }

    /** Starts listening for agents and taking part in the election. */
    public Future<Void> start() {
        NetServer server =
                vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true));
        server.connectHandler(socket -> MessageConnection.accept(socket, key, new AgentListener()));
        return server.listen(candidate.port(), candidate.host()).map(listening -> {
            openWatch();
            election.start();
            return null;
        });
    }

    /** Applies a configuration that took effect. */
    public void configurationChanged(WorkloadConfiguration configuration) {
        placerEvents.offer(new PlacerEvent.ConfigurationChanged(configuration));
        vertx.runOnContext(ignored -> election.setEligible(true));
    }

    /** Steps down before a graceful shutdown. */
    public void resign() {
        vertx.runOnContext(ignored -> election.resign());
    }

    private void openWatch() {
        store.watch(WorkloadKeys.REQUESTS, new KeyValueService.WatchListener() {
            @Override
            public void onOpened() {
                placerEvents.offer(new PlacerEvent.WatchOpened());
            }

            @Override
            public void onChanged(List<KeyValue> changes, long revision) {
                placerEvents.offer(new PlacerEvent.RequestsReceived(changes));
            }

            @Override
            public void onFailure(Throwable cause) {
                LOGGER.debug("the watch of the requests failed: {}", cause.getMessage());
                vertx.setTimer(WATCH_RETRY_DELAY_MILLISECONDS, timer -> openWatch());
            }
        });
    }

    private final class AgentListener implements MessageConnection.Listener, AgentConnection {
        private final long number = acceptedConnections.incrementAndGet();
        private MessageConnection connection;

        @Override
        public void opened(MessageConnection opened) {
            connection = opened;
        }

        @Override
        public void received(MessageConnection from, Message message) {
            if (message instanceof WorkMessage work) {
                placerEvents.offer(new PlacerEvent.MessageReceived(this, work));
            } else {
                LOGGER.warn("ignored {} from an agent", message.getClass().getSimpleName());
            }
        }

        @Override
        public void closed(MessageConnection closed) {
            placerEvents.offer(new PlacerEvent.AgentDisconnected(this));
        }

        @Override
        public long sequenceNumber() {
            return number;
        }

        @Override
        public void send(WorkMessage message) {
            connection.send(message);
        }
    }
}
