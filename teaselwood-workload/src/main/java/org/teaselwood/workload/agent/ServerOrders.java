package org.teaselwood.workload.agent;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Orders of the placer that an agent carries out and retries until its backend server answers. Mutable; confined to the
 * agent's event loop.
 *
 * <p>Invariant: nothing is retried or answered after {@link #drop}, so that an order never follows one of a later term.
 * An order that is retried before the first heartbeat of a later incarnation reaches it if both have the same
 * identifier; the placer takes this into account when it replaces the server.
 */
final class ServerOrders {
    private static final Logger LOGGER = LoggerFactory.getLogger(ServerOrders.class);

    private static final long RETRY_DELAY_MILLISECONDS = 100;

    /** Time for which an unconfirmed start is retried; the placer stops the run afterwards. */
    private static final long START_RETRY_LIMIT_MILLISECONDS = 1_500;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final BackendServerClient client;
    private final ServerLeases leases;
    private final Listener listener;
    private final Set<String> startsInProgress = new HashSet<>();
    private final Set<String> stopsInProgress = new HashSet<>();
    private long generation;

    /** Agent that receives the orders. */
    interface Listener {
        /** Returns whether the server accepts new tasks. */
        boolean acceptsTasks();

        /** Handles the outcome of an order. */
        void answered(String task, int attempt, OrderOutcome outcome);

        /** Handles the confirmation of a stop. */
        void stopped();
    }

    ServerOrders(
            Vertx vertx, MonotonicClock clock, BackendServerClient client, ServerLeases leases, Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.client = client;
        this.leases = leases;
        this.listener = listener;
    }

    /** Drops all orders in progress, which belong to an earlier incarnation of the server or to an earlier term. */
    void drop() {
        generation++;
        startsInProgress.clear();
        stopsInProgress.clear();
    }

    /** Carries out a start, or continues to carry it out if it was received before. */
    void start(WorkMessage.StartTask order) {
        String key = order.task() + "#" + order.attempt();
        if (isOutdated(order)) {
            LOGGER.info("refused the start of {}: the order is outdated", key);
            listener.answered(order.task(), order.attempt(), OrderOutcome.UNAVAILABLE);
        } else if (!listener.acceptsTasks()) {
            listener.answered(order.task(), order.attempt(), OrderOutcome.UNAVAILABLE);
        } else if (startsInProgress.add(key)) {
            tryStart(order, key, clock.nowMilliseconds(), false);
        }
    }

    /**
     * Returns whether a start was sent too long ago to be carried out. A process freeze or a network partition may
     * delay a start until the placer has declared this server lost and placed the task elsewhere; the placer waits
     * longer than this limit before it does so.
     */
    private boolean isOutdated(WorkMessage.StartTask order) {
        long age = clock.nowMilliseconds() - order.echoMilliseconds();
        return age < 0 || age > WorkloadTimings.CONTACT_TIMEOUT_MILLISECONDS;
    }

    private void tryStart(WorkMessage.StartTask order, String key, long firstTriedAt, boolean ambiguous) {
        long startGeneration = generation;
        client.start(new BackendServerClient.StartRequest(
                        order.server(),
                        order.term(),
                        order.task(),
                        order.attempt(),
                        order.payload(),
                        order.checkpoint(),
                        order.ticket(),
                        leases.extend(clock.nowMilliseconds())))
                .onComplete(result -> {
                    if (startGeneration != generation) {
                        return;
                    }
                    if (result.failed() || result.result() == BackendServerClient.OrderResponse.LEASE_EXPIRED) {
                        LOGGER.info("the backend server has not confirmed the start of {}", key);
                        retryStart(order, key, firstTriedAt, ambiguous || result.failed());
                        return;
                    }
                    startsInProgress.remove(key);
                    listener.answered(order.task(), order.attempt(), startOutcome(result.result(), ambiguous));
                });
    }

    private void retryStart(WorkMessage.StartTask order, String key, long firstTriedAt, boolean ambiguous) {
        boolean expired = clock.nowMilliseconds() - firstTriedAt > START_RETRY_LIMIT_MILLISECONDS;
        if (expired || stopsInProgress.contains(key) || !listener.acceptsTasks()) {
            startsInProgress.remove(key);
            listener.answered(order.task(), order.attempt(), OrderOutcome.UNCERTAIN);
            return;
        }
        long startGeneration = generation;
        vertx.setTimer(RETRY_DELAY_MILLISECONDS, timer -> {
            if (startGeneration == generation) {
                tryStart(order, key, firstTriedAt, ambiguous);
            }
        });
    }

    /** Reports a refusal as final only if no earlier request can still take effect. */
    private static OrderOutcome startOutcome(BackendServerClient.OrderResponse response, boolean ambiguous) {
        return switch (response) {
            case DONE -> OrderOutcome.STARTED;
            case SUPERSEDED -> OrderOutcome.SUPERSEDED;
            case INSUFFICIENT_RESOURCES -> ambiguous ? OrderOutcome.UNCERTAIN : OrderOutcome.NO_ROOM;
            case INVALID_TICKET -> ambiguous ? OrderOutcome.UNCERTAIN : OrderOutcome.NO_TICKET;
            case UNAVAILABLE, OTHER_INCARNATION -> ambiguous ? OrderOutcome.UNCERTAIN : OrderOutcome.UNAVAILABLE;
            case INVALID -> ambiguous ? OrderOutcome.UNCERTAIN : OrderOutcome.REFUSED;
            case STALE_TERM, LEASE_EXPIRED -> OrderOutcome.UNCERTAIN;
        };
    }

    /** Sets the pace of a task without retries, because the placer repeats an order that had no effect. */
    void pace(WorkMessage.PaceTask order) {
        client.pace(new BackendServerClient.PaceRequest(
                        order.server(), order.term(), order.task(), order.attempt(), order.percent()))
                .onFailure(failure ->
                        LOGGER.debug("the backend server has not confirmed the pace of {}", order.task(), failure));
    }

    /** Carries out a stop and retries it until the server answers. */
    void stop(WorkMessage.StopTask order) {
        String key = order.task() + "#" + order.attempt();
        if (stopsInProgress.add(key)) {
            tryStop(order, key);
        }
    }

    private void tryStop(WorkMessage.StopTask order, String key) {
        long stopGeneration = generation;
        client.stop(new BackendServerClient.StopRequest(order.server(), order.term(), order.task(), order.attempt()))
                .onComplete(result -> {
                    if (stopGeneration != generation) {
                        return;
                    }
                    boolean carriedOut = result.succeeded()
                            && (result.result() == BackendServerClient.OrderResponse.DONE
                                    || result.result() == BackendServerClient.OrderResponse.SUPERSEDED);
                    if (carriedOut) {
                        stopsInProgress.remove(key);
                        listener.answered(order.task(), order.attempt(), OrderOutcome.STOPPED);
                        listener.stopped();
                    } else {
                        LOGGER.info("the backend server has not confirmed the stop of {}; retrying", key);
                        vertx.setTimer(RETRY_DELAY_MILLISECONDS, timer -> {
                            if (stopGeneration == generation) {
                                tryStop(order, key);
                            }
                        });
                    }
                });
    }
}
