package org.teaselwood.workload.agent;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.EndedTask;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.protocol.message.WorkMessage.OrderResult;
import org.teaselwood.protocol.message.WorkMessage.RunningTask;
import org.teaselwood.protocol.message.WorkMessage.ServerDescription;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Agent of one backend server. Confined to one event loop.
 *
 * <p>The agent renews the leases of all runs while the placer answers its reports, or while the store confirms that no
 * placer is elected. It carries out orders and retries them until the server answers. Invariants: once a placer is
 * elected, leases are renewed for at most {@link WorkloadTimings#CONTACT_TIMEOUT_MILLISECONDS} without an answer from
 * that placer, so that the placer knows when the runs of an unresponsive agent have ended; leases of a server that does
 * not answer are renewed for at most {@link #RENEWAL_LIMIT_MILLISECONDS}, and the server is reported as gone only after
 * every lease that it may have granted has expired; orders of an older term are dropped; a draining server gets no new
 * tasks; an incarnation is replaced only by one that answers at the address of the server, because anybody may send a
 * heartbeat.
 */
public final class WorkAgent {
    private static final Logger LOGGER = LoggerFactory.getLogger(WorkAgent.class);

    /** Maximum time for which the server delays its response to a read; bounds the interval between lease renewals. */
    private static final long READ_WAIT_MILLISECONDS = 1_000;

    private static final long RETRY_DELAY_MILLISECONDS = 100;

    /** Delay between reads while ends are unacknowledged, because the server then answers without waiting. */
    private static final long UNACKNOWLEDGED_READ_DELAY_MILLISECONDS = 60;

    /** Time without an answer, twice the read wait, after which a server is reported as unresponsive. */
    private static final long UNRESPONSIVE_AFTER_MILLISECONDS = 2 * READ_WAIT_MILLISECONDS;

    /** Time without an answer, three times the read wait, after which leases are no longer renewed. */
    private static final long RENEWAL_LIMIT_MILLISECONDS = 3 * READ_WAIT_MILLISECONDS;

    /** Delay between reads of a server that is reported as gone. */
    private static final long GONE_READ_DELAY_MILLISECONDS = 500;

    /** Distinguishes this process from an earlier agent process of the same server. */
    private final long agentIncarnation = ThreadLocalRandom.current().nextLong();

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final BackendServerClient client;
    private final ServerLeases leases;
    private final ServerOrders orders;
    private final IncarnationVerification verification;
    private ServerHeartbeat heartbeat;

    /** Whether the server is reported as gone; it is back after an answer or with a newer incarnation. */
    private boolean serverGone;

    /** Whether a departure notice names the server, which gets no new tasks unless a newer heartbeat follows. */
    private boolean departureNoticed;

    private long highestTerm;
    private long lastOperation;
    private long acknowledged;
    private long serverLastContactAt;
    private long lastContactAt = Long.MIN_VALUE / 2;
    private long noPlacerConfirmedAt = Long.MIN_VALUE / 2;
    private long listsTerm;
    private long listsOperation;

    /** The server's clock when it made the lists, negative if unknown. */
    private long listsClock = -1;

    /** Number of the last read that was sent before the lists were received. */
    private long lastOperationBeforeLists;

    private List<RunningTask> running = List.of();
    private List<EndedTask> ended = List.of();
    private boolean moreEnded;

    /** Whether a read of the loop is in progress, which the server may delay until a task ends. */
    private boolean loopReadInProgress;

    /** Number of the current series of reads; the answers to reads of an earlier one are ignored. */
    private long readSeries;

    private long lastReportAt;
    private Sender sender;

    /** Connection to the placer that sends messages. */
    public interface Sender {
        /** Sends a message; it is dropped if it cannot be sent. */
        void send(WorkMessage message);
    }

    /** Creates an agent whose server has not sent a heartbeat yet. */
    public WorkAgent(Vertx vertx, MonotonicClock clock, BackendServerClient client, WorkloadTimings timings) {
        this.vertx = vertx;
        this.clock = clock;
        this.client = client;
        this.leases = new ServerLeases(timings.maximumLeaseMilliseconds());
        this.orders = new ServerOrders(vertx, clock, client, leases, new OrderListener());
        this.verification = new IncarnationVerification(vertx, client, () -> highestTerm, this::incarnationVerified);
    }

    /**
     * Processes a heartbeat. One of the current incarnation is ignored if it is older than the last or contradicts it;
     * one of any other incarnation takes effect once that incarnation answers.
     */
    public void heartbeatReceived(ServerHeartbeat newHeartbeat) {
        ServerDescription described = newHeartbeat.description();
        if (heartbeat == null || !heartbeat.description().isSameIncarnation(described)) {
            verification.verify(newHeartbeat);
        } else if (newHeartbeat.sequence() < heartbeat.sequence()) {
            LOGGER.info("ignored an outdated heartbeat of {}", described.server());
        } else if (!heartbeat.description().service().equals(described.service())) {
            LOGGER.warn(
                    "ignored a heartbeat of {} with service {} instead of {}",
                    described.server(),
                    described.service(),
                    heartbeat.description().service());
        } else {
            acceptHeartbeat(newHeartbeat);
        }
    }

    /**
     * Replaces the current incarnation by one that has answered. After a step of the time of day it may have an earlier
     * start time than its predecessor, which the placer then has to learn to be gone.
     */
    private void incarnationVerified(ServerHeartbeat verified) {
        if (heartbeat != null
                && verified.description().incarnation()
                        < heartbeat.description().incarnation()) {
            sendServerLeft();
        }
        acceptHeartbeat(verified);
    }

    private void acceptHeartbeat(ServerHeartbeat newHeartbeat) {
        boolean newIncarnation =
                heartbeat == null || !heartbeat.description().isSameIncarnation(newHeartbeat.description());
        boolean drainingChanged = heartbeat == null || heartbeat.draining() != newHeartbeat.draining();
        if (!newIncarnation && newHeartbeat.sequence() > heartbeat.sequence()) {
            departureNoticed = false;
        }
        heartbeat = newHeartbeat;
        if (newIncarnation) {
            beginIncarnation(newHeartbeat);
        }
        leases.clockRead(newHeartbeat.clockMilliseconds(), clock.nowMilliseconds());
        if (newIncarnation) {
            read(READ_WAIT_MILLISECONDS, true);
        }
        if (drainingChanged || newIncarnation) {
            LOGGER.info(
                    "backend server {} draining={}", newHeartbeat.description().server(), newHeartbeat.draining());
            report();
        }
    }

    /**
     * Processes a departure notice. It names no incarnation and may come late from one that had the same identifier, so
     * that the server is reported as gone only if it does not answer either.
     */
    public void serverDeparted(String server) {
        if (heartbeat != null && heartbeat.description().server().equals(server)) {
            LOGGER.info("backend server {} has sent a departure notice", server);
            departureNoticed = true;
            report();
            readNow();
        }
    }

    /** Sets the connection to the placer of a term. */
    public void connected(long term, Sender newSender) {
        sender = newSender;
        raiseTerm(term);
        if (serverGone) {
            sendServerLeft();
        }
        readNow();
    }

    /** Removes the connection to the placer after it was closed. */
    public void disconnected() {
        sender = null;
    }

    /** Records that the store confirmed, in response to a read sent at this time, that no placer is elected. */
    public void noPlacerConfirmed(long sentAtMilliseconds) {
        noPlacerConfirmedAt = Math.max(noPlacerConfirmedAt, sentAtMilliseconds);
    }

    /** Returns the time of the newest report that the placer answered, on the agent's clock. */
    public long lastContactAt() {
        return lastContactAt;
    }

    /** Handles a message of the placer. */
    public void received(WorkMessage message) {
        switch (message) {
            case WorkMessage.Contact contact -> contactReceived(contact);
            case WorkMessage.StartTask order -> {
                if (accepts(order.term(), order.server(), order.incarnation())) {
                    orders.start(order);
                }
            }
            case WorkMessage.StopTask order -> {
                if (accepts(order.term(), order.server(), order.incarnation())) {
                    orders.stop(order);
                }
            }
            case WorkMessage.PaceTask order -> {
                if (accepts(order.term(), order.server(), order.incarnation())) {
                    orders.pace(order);
                }
            }
            case ServerReport unexpected -> LOGGER.warn("ignored an unexpected server report");
            case OrderResult unexpected -> LOGGER.warn("ignored an unexpected order result");
            case WorkMessage.ServerLeft unexpected -> LOGGER.warn("ignored an unexpected departure message");
        }
    }

    /** Sends a report if none was sent within the report interval. Must be called several times a second. */
    public void tick() {
        if (clock.nowMilliseconds() - lastReportAt >= WorkloadTimings.REPORT_INTERVAL_MILLISECONDS) {
            report();
        }
    }

    private void beginIncarnation(ServerHeartbeat newHeartbeat) {
        LOGGER.info(
                "backend server {} announced an incarnation started at {}",
                newHeartbeat.description().server(),
                newHeartbeat.description().incarnation());
        serverGone = false;
        departureNoticed = false;
        readSeries++;
        loopReadInProgress = false;
        verification.cancelAll();
        acknowledged = 0;
        running = List.of();
        ended = List.of();
        moreEnded = false;
        listsOperation = 0;
        listsClock = -1;
        lastOperationBeforeLists = lastOperation;
        listsTerm = 0;
        orders.drop();
        serverLastContactAt = clock.nowMilliseconds();
        leases.begin(serverLastContactAt);
    }

    private boolean mayRenew(long now) {
        return !serverGone
                && now - serverLastContactAt <= RENEWAL_LIMIT_MILLISECONDS
                && (now - lastContactAt <= WorkloadTimings.CONTACT_TIMEOUT_MILLISECONDS
                        || now - noPlacerConfirmedAt <= WorkloadTimings.CONTACT_TIMEOUT_MILLISECONDS);
    }

    private void readNow() {
        if (heartbeat != null && !serverGone) {
            read(0, false);
        }
    }

    /** Reads the lists of tasks and renews the leases if allowed; in the loop, the next read follows the response. */
    private void read(long waitMilliseconds, boolean loop) {
        long series = readSeries;
        long number = ++lastOperation;
        long term = highestTerm;
        long sentAt = clock.nowMilliseconds();
        loopReadInProgress |= loop;
        OptionalLong expires = mayRenew(sentAt) ? OptionalLong.of(leases.extend(sentAt)) : OptionalLong.empty();
        client.renewLeases(new BackendServerClient.LeaseRenewalRequest(
                        heartbeat.description().server(), term, acknowledged, expires, waitMilliseconds))
                .onComplete(result -> {
                    if (series != readSeries) {
                        return;
                    }
                    loopReadInProgress &= !loop;
                    boolean answered = result.succeeded() && isFromCurrentIncarnation(result.result());
                    if (answered) {
                        listsRead(result.result(), number, term);
                    } else {
                        LOGGER.debug("the backend server did not answer a read", result.cause());
                        if (!serverGone && (mayHaveDeparted() || hasEndedAllRuns(sentAt))) {
                            loseServer();
                            return;
                        }
                    }
                    if (loop) {
                        continueLoop(answered);
                    }
                });
    }

    /**
     * Returns whether a server that did not answer a read has left. The response to the read of the loop, if it is in
     * progress, is awaited, because it may list tasks that ended just before.
     */
    private boolean mayHaveDeparted() {
        return departureNoticed && !loopReadInProgress;
    }

    /** Returns whether a server that did not answer a read of the given time has no active runs. */
    private boolean hasEndedAllRuns(long sentAt) {
        return sentAt - serverLastContactAt > RENEWAL_LIMIT_MILLISECONDS && leases.haveExpired(sentAt);
    }

    /** Reports the server as gone and drops its orders; reads continue without renewals until it answers. */
    private void loseServer() {
        LOGGER.info(
                "backend server {} is gone: no answer for {} ms, departure notice={}",
                heartbeat.description().server(),
                clock.nowMilliseconds() - serverLastContactAt,
                departureNoticed);
        serverGone = true;
        readSeries++;
        loopReadInProgress = false;
        orders.drop();
        sendServerLeft();
        continueLoop(false);
    }

    private void sendServerLeft() {
        send(new WorkMessage.ServerLeft(
                heartbeat.description().server(), heartbeat.description().incarnation()));
    }

    private void continueLoop(boolean answered) {
        long series = readSeries;
        boolean unacknowledged = !ended.isEmpty() && ended.getLast().number() > acknowledged;
        long delayMilliseconds =
                answered ? unacknowledged ? UNACKNOWLEDGED_READ_DELAY_MILLISECONDS : 1 : RETRY_DELAY_MILLISECONDS;
        vertx.setTimer(serverGone ? GONE_READ_DELAY_MILLISECONDS : delayMilliseconds, timer -> {
            if (series == readSeries) {
                read(unacknowledged || !answered ? 0 : READ_WAIT_MILLISECONDS, true);
            }
        });
    }

    private boolean isFromCurrentIncarnation(BackendServerClient.LeaseRenewalResponse reply) {
        boolean current = reply.startMilliseconds() == 0
                || reply.startMilliseconds() == heartbeat.description().incarnation();
        if (!current) {
            LOGGER.info("another incarnation of the backend server answered; waiting for its heartbeat");
        }
        return current;
    }

    private void listsRead(BackendServerClient.LeaseRenewalResponse reply, long number, long term) {
        serverLastContactAt = clock.nowMilliseconds();
        leases.clockRead(reply.clockMilliseconds(), serverLastContactAt);
        if (isOvertaken(reply, number)) {
            LOGGER.debug("ignored the lists of read {}, which newer ones have overtaken", number);
            serverGone = false;
            return;
        }
        boolean changed = serverGone || !reply.ended().equals(ended) || term != listsTerm;
        serverGone = false;
        running = reply.running();
        ended = reply.ended();
        moreEnded = reply.moreEnded();
        listsOperation = number;
        listsClock = reply.clockMilliseconds();
        lastOperationBeforeLists = lastOperation;
        listsTerm = term;
        if (changed) {
            report();
        }
    }

    /**
     * Returns whether the server may have made these lists before those that are known. Several reads are in progress
     * at a time, and their responses may overtake each other. With older lists under a newer number, the placer would
     * take runs that started in between for ended and start their tasks again.
     */
    private boolean isOvertaken(BackendServerClient.LeaseRenewalResponse reply, long number) {
        boolean sentAfterLists = number > lastOperationBeforeLists;
        return !sentAfterLists && reply.clockMilliseconds() <= listsClock;
    }

    private void report() {
        if (heartbeat == null || serverGone) {
            return;
        }
        long now = clock.nowMilliseconds();
        lastReportAt = now;
        send(new ServerReport(
                heartbeat.description(),
                agentIncarnation,
                listsTerm,
                !acceptsTasks(),
                now - serverLastContactAt <= UNRESPONSIVE_AFTER_MILLISECONDS,
                now,
                listsOperation,
                running,
                ended,
                moreEnded));
    }

    private boolean acceptsTasks() {
        return !heartbeat.draining() && !departureNoticed;
    }

    private void send(WorkMessage message) {
        if (sender != null) {
            sender.send(message);
        }
    }

    private void contactReceived(WorkMessage.Contact contact) {
        if (!accepts(contact.term(), contact.server(), contact.incarnation())) {
            return;
        }
        lastContactAt = Math.max(lastContactAt, contact.echoMilliseconds());
        if (contact.acknowledged() > acknowledged) {
            acknowledged = contact.acknowledged();
            readNow();
        }
    }

    private boolean accepts(long term, String server, long serverIncarnation) {
        if (term < highestTerm) {
            LOGGER.info("ignored a message of term {}: the highest known term is {}", term, highestTerm);
            return false;
        }
        raiseTerm(term);
        return heartbeat != null
                && !serverGone
                && heartbeat.description().server().equals(server)
                && heartbeat.description().incarnation() == serverIncarnation;
    }

    private void raiseTerm(long term) {
        if (term > highestTerm) {
            LOGGER.info("accepting orders of term {}", term);
            highestTerm = term;
            orders.drop();
        }
    }

    private final class OrderListener implements ServerOrders.Listener {
        @Override
        public boolean acceptsTasks() {
            return WorkAgent.this.acceptsTasks();
        }

        @Override
        public void answered(String task, int attempt, OrderOutcome outcome) {
            send(new OrderResult(
                    heartbeat.description().server(),
                    heartbeat.description().incarnation(),
                    task,
                    attempt,
                    outcome,
                    lastOperation));
        }

        @Override
        public void stopped() {
            readNow();
        }
    }
}
