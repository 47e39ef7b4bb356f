package org.teaselwood.workload.agent;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.protocol.MonotonicClock;
import org.teaselwood.protocol.message.WorkMessage;
import org.teaselwood.protocol.message.WorkMessage.EndedTask;
import org.teaselwood.protocol.message.WorkMessage.OrderOutcome;
import org.teaselwood.protocol.message.WorkMessage.OrderResult;
import org.teaselwood.protocol.message.WorkMessage.RunningTask;
import org.teaselwood.protocol.message.WorkMessage.ServerReport;
import org.teaselwood.workload.model.WorkloadTimings;

/**
 * Agent of one backend server. Confined to one event loop.
 *
 * <p>The agent renews the leases of all runs while the placer answers its reports, or while the store confirms that no
 * placer is elected. It carries out orders and retries them until the server answers. Invariants: once a placer is
 * elected, leases are renewed for at most {@link WorkloadTimings#CONTACT_MILLISECONDS} without an answer from that
 * placer, so that the placer knows when the runs of an unresponsive agent have ended; orders of an older term are
 * dropped; a draining server gets no new tasks.
 */
public final class WorkAgent {
    private static final Logger LOGGER = LoggerFactory.getLogger(WorkAgent.class);

    /** Maximum time for which the server delays its response to a read; bounds the interval between lease renewals. */
    private static final long WAIT_MILLISECONDS = 1_000;

    private static final long RETRY_MILLISECONDS = 100;

    /** Delay between reads while ends are unacknowledged, because the server then answers without waiting. */
    private static final long UNACKNOWLEDGED_PAUSE_MILLISECONDS = 60;

    /** Time without an answer, two waits, after which a server is reported as unresponsive. */
    private static final long UNRESPONSIVE_MILLISECONDS = 2 * WAIT_MILLISECONDS;

    /** Time for which an unconfirmed start is retried; the placer stops the run afterwards. */
    private static final long START_LIMIT_MILLISECONDS = 1_500;

    /** Lease duration, added to the clock of the server; the server shortens the lease to its own maximum. */
    private final long leaseMilliseconds;

    /** Distinguishes this process from an earlier agent process of the same server. */
    private final long agentLife = ThreadLocalRandom.current().nextLong();

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final BackendServerCalls calls;
    private final Set<String> startsInProgress = new HashSet<>();
    private final Set<String> stopsInProgress = new HashSet<>();
    private ServerAnnouncement announcement;
    private boolean left;
    private long highestTerm;
    private long operation;
    private long acknowledged;
    private long serverClock;
    private long serverClockAt;
    private long answeredAt;
    private long contactAt = Long.MIN_VALUE / 2;
    private long vacancyConfirmedAt = Long.MIN_VALUE / 2;
    private long listsTerm;
    private long listsOperation;
    private List<RunningTask> running = List.of();
    private List<EndedTask> ended = List.of();
    private boolean loopRunning;
    private long life;
    private long reportedAt;
    private Sender sender;

    /** Connection to the placer that sends messages. */
    public interface Sender {
        /** Sends a message; it is dropped if it cannot be sent. */
        void send(WorkMessage message);
    }

    /** Creates an agent whose server has not announced itself yet. */
    public WorkAgent(Vertx vertx, MonotonicClock clock, BackendServerCalls calls, WorkloadTimings timings) {
        this.vertx = vertx;
        this.clock = clock;
        this.calls = calls;
        this.leaseMilliseconds = timings.longestHoldMilliseconds();
    }

    /** Applies an announcement of the server; an older one than the last is ignored. */
    public void announced(ServerAnnouncement news) {
        if (announcement != null && isOlder(news)) {
            LOGGER.info(
                    "ignored an outdated announcement of {}", news.description().server());
            return;
        }
        boolean otherLife = announcement == null || !sameLife(news);
        boolean drainingChanged = announcement == null || announcement.draining() != news.draining();
        announcement = news;
        if (otherLife) {
            beginLife(news);
        }
        readClock(news.clockMilliseconds());
        if (drainingChanged || otherLife) {
            LOGGER.info("backend server {} draining={}", news.description().server(), news.draining());
            report();
        }
    }

    /** Records that the server is leaving and reports it to the placer. */
    public void departed(String server) {
        if (announcement != null && announcement.description().server().equals(server)) {
            LOGGER.info("backend server {} has left", server);
            left = true;
            life++;
            loopRunning = false;
            send(new WorkMessage.ServerLeft(server, announcement.description().start()));
        }
    }

    /** Sets the connection to the placer of a term. */
    public void connected(long term, Sender newSender) {
        sender = newSender;
        raiseTerm(term);
        readNow();
    }

    /** Removes the connection to the placer after it was closed. */
    public void disconnected() {
        sender = null;
    }

    /** Records that the store confirmed, in response to a read sent at this time, that no placer is elected. */
    public void vacancyConfirmed(long askedAtMilliseconds) {
        vacancyConfirmedAt = Math.max(vacancyConfirmedAt, askedAtMilliseconds);
    }

    /** Returns the time of the newest report that the placer answered, on the agent's clock. */
    public long contactAt() {
        return contactAt;
    }

    /** Handles a message of the placer. */
    public void received(WorkMessage message) {
        switch (message) {
            case WorkMessage.Contact contact -> contacted(contact);
            case WorkMessage.StartTask order -> {
                if (accepts(order.term(), order.server(), order.start())) {
                    startOrdered(order);
                }
            }
            case WorkMessage.StopTask order -> {
                if (accepts(order.term(), order.server(), order.start())) {
                    stopOrdered(order);
                }
            }
            case WorkMessage.PaceTask order -> {
                if (accepts(order.term(), order.server(), order.start())) {
                    pace(order);
                }
            }
            case ServerReport unexpected -> LOGGER.warn("ignored an unexpected server report");
            case OrderResult unexpected -> LOGGER.warn("ignored an unexpected order result");
            case WorkMessage.ServerLeft unexpected -> LOGGER.warn("ignored an unexpected departure message");
        }
    }

    /** Sends a report if none was sent within the report interval. Must be called several times a second. */
    public void tick() {
        if (clock.nowMilliseconds() - reportedAt >= WorkloadTimings.REPORT_MILLISECONDS) {
            report();
        }
    }

    private boolean isOlder(ServerAnnouncement news) {
        return sameLife(news)
                ? news.sequence() < announcement.sequence()
                : news.description().start() < announcement.description().start();
    }

    private boolean sameLife(ServerAnnouncement news) {
        return news.description().server().equals(announcement.description().server())
                && news.description().start() == announcement.description().start();
    }

    private void beginLife(ServerAnnouncement news) {
        LOGGER.info(
                "backend server {} announced an incarnation started at {}",
                news.description().server(),
                news.description().start());
        left = false;
        life++;
        acknowledged = 0;
        running = List.of();
        ended = List.of();
        listsOperation = 0;
        listsTerm = 0;
        startsInProgress.clear();
        stopsInProgress.clear();
        answeredAt = clock.nowMilliseconds();
        loopRunning = true;
        read(WAIT_MILLISECONDS, true);
    }

    private void readClock(long milliseconds) {
        if (milliseconds >= 0) {
            serverClock = milliseconds;
            serverClockAt = clock.nowMilliseconds();
        }
    }

    private long leaseEnd() {
        return serverClock + clock.nowMilliseconds() - serverClockAt + leaseMilliseconds;
    }

    private boolean mayRenew() {
        long now = clock.nowMilliseconds();
        return now - contactAt <= WorkloadTimings.CONTACT_MILLISECONDS
                || now - vacancyConfirmedAt <= WorkloadTimings.CONTACT_MILLISECONDS;
    }

    private void readNow() {
        if (announcement != null && !left) {
            read(0, false);
        }
    }

    /** Reads the lists of tasks and renews the leases if allowed; in the loop, the next read follows the response. */
    private void read(long waitMilliseconds, boolean loop) {
        long readOfLife = life;
        long number = ++operation;
        long term = highestTerm;
        OptionalLong expires = mayRenew() ? OptionalLong.of(leaseEnd()) : OptionalLong.empty();
        calls.hold(new BackendServerCalls.HoldRequest(
                        announcement.description().server(), term, acknowledged, expires, waitMilliseconds))
                .onComplete(result -> {
                    if (readOfLife != life) {
                        return;
                    }
                    if (result.succeeded()) {
                        listed(result.result(), number, term);
                    } else {
                        LOGGER.debug("the backend server did not answer a read", result.cause());
                    }
                    if (loop && loopRunning) {
                        continueLoop(result.succeeded());
                    }
                });
    }

    private void continueLoop(boolean answered) {
        long readOfLife = life;
        boolean unacknowledged = !ended.isEmpty() && ended.getLast().number() > acknowledged;
        long pause = answered ? unacknowledged ? UNACKNOWLEDGED_PAUSE_MILLISECONDS : 1 : RETRY_MILLISECONDS;
        vertx.setTimer(pause, timer -> {
            if (readOfLife == life && loopRunning) {
                read(unacknowledged ? 0 : WAIT_MILLISECONDS, true);
            }
        });
    }

    private void listed(BackendServerCalls.HoldReply reply, long number, long term) {
        if (reply.start() != 0 && reply.start() != announcement.description().start()) {
            LOGGER.info("another incarnation of the backend server answered; waiting for its announcement");
            return;
        }
        answeredAt = clock.nowMilliseconds();
        readClock(reply.clockMilliseconds());
        boolean changed = !reply.ended().equals(ended) || term != listsTerm;
        running = reply.running();
        ended = reply.ended();
        listsOperation = number;
        listsTerm = term;
        if (changed) {
            report();
        }
    }

    private void report() {
        if (announcement == null || left) {
            return;
        }
        long now = clock.nowMilliseconds();
        reportedAt = now;
        send(new ServerReport(
                announcement.description(),
                agentLife,
                listsTerm,
                announcement.draining(),
                now - answeredAt <= UNRESPONSIVE_MILLISECONDS,
                now,
                listsOperation,
                running,
                ended));
    }

    private void send(WorkMessage message) {
        if (sender != null) {
            sender.send(message);
        }
    }

    private void contacted(WorkMessage.Contact contact) {
        if (!accepts(contact.term(), contact.server(), contact.start())) {
            return;
        }
        contactAt = Math.max(contactAt, contact.echoMilliseconds());
        if (contact.acknowledged() > acknowledged) {
            acknowledged = contact.acknowledged();
            readNow();
        }
    }

    private boolean accepts(long term, String server, long start) {
        if (term < highestTerm) {
            LOGGER.info("ignored a message of term {}: the highest known term is {}", term, highestTerm);
            return false;
        }
        raiseTerm(term);
        return announcement != null
                && !left
                && announcement.description().server().equals(server)
                && announcement.description().start() == start;
    }

    private void raiseTerm(long term) {
        if (term > highestTerm) {
            LOGGER.info("accepting orders of term {}", term);
            highestTerm = term;
            startsInProgress.clear();
            stopsInProgress.clear();
        }
    }

    private void startOrdered(WorkMessage.StartTask order) {
        String key = order.task() + "#" + order.attempt();
        if (isOutdated(order)) {
            LOGGER.info("refused the start of {}: the order is outdated", key);
            answer(order.task(), order.attempt(), OrderOutcome.UNAVAILABLE);
        } else if (announcement.draining()) {
            answer(order.task(), order.attempt(), OrderOutcome.UNAVAILABLE);
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
        return age < 0 || age > WorkloadTimings.CONTACT_MILLISECONDS;
    }

    private void tryStart(WorkMessage.StartTask order, String key, long since, boolean unanswered) {
        long startOfLife = life;
        calls.start(new BackendServerCalls.StartRequest(
                        order.server(),
                        order.term(),
                        order.task(),
                        order.attempt(),
                        order.payload(),
                        order.checkpoint(),
                        order.ticket(),
                        leaseEnd()))
                .onComplete(result -> {
                    if (startOfLife != life || order.term() < highestTerm) {
                        return;
                    }
                    if (result.failed() || result.result() == BackendServerCalls.Answer.LATE) {
                        LOGGER.info("the backend server has not confirmed the start of {}", key);
                        retryStart(order, key, since, unanswered || result.failed());
                        return;
                    }
                    startsInProgress.remove(key);
                    answer(order.task(), order.attempt(), startOutcome(result.result(), unanswered));
                });
    }

    private void retryStart(WorkMessage.StartTask order, String key, long since, boolean unanswered) {
        boolean expired = clock.nowMilliseconds() - since > START_LIMIT_MILLISECONDS;
        if (expired || stopsInProgress.contains(key) || announcement.draining()) {
            startsInProgress.remove(key);
            answer(order.task(), order.attempt(), OrderOutcome.UNCERTAIN);
            return;
        }
        long startOfLife = life;
        vertx.setTimer(RETRY_MILLISECONDS, timer -> {
            if (startOfLife == life && order.term() >= highestTerm) {
                tryStart(order, key, since, unanswered);
            }
        });
    }

    /** Reports a refusal as final only if no earlier request can still take effect. */
    private static OrderOutcome startOutcome(BackendServerCalls.Answer answer, boolean unanswered) {
        return switch (answer) {
            case DONE -> OrderOutcome.STARTED;
            case SUPERSEDED -> OrderOutcome.SUPERSEDED;
            case NO_ROOM -> unanswered ? OrderOutcome.UNCERTAIN : OrderOutcome.NO_ROOM;
            case NO_TICKET -> unanswered ? OrderOutcome.UNCERTAIN : OrderOutcome.NO_TICKET;
            case UNHEALTHY, OTHER_LIFE -> unanswered ? OrderOutcome.UNCERTAIN : OrderOutcome.UNAVAILABLE;
            case INVALID -> unanswered ? OrderOutcome.UNCERTAIN : OrderOutcome.REFUSED;
            case FENCED, LATE -> OrderOutcome.UNCERTAIN;
        };
    }

    /** Sets the pace of a task without retries, because the placer repeats an order that had no effect. */
    private void pace(WorkMessage.PaceTask order) {
        calls.pace(new BackendServerCalls.PaceRequest(
                        order.server(), order.term(), order.task(), order.attempt(), order.percent()))
                .onFailure(failure ->
                        LOGGER.debug("the backend server has not confirmed the pace of {}", order.task(), failure));
    }

    private void stopOrdered(WorkMessage.StopTask order) {
        String key = order.task() + "#" + order.attempt();
        if (stopsInProgress.add(key)) {
            tryStop(order, key);
        }
    }

    private void tryStop(WorkMessage.StopTask order, String key) {
        long stopOfLife = life;
        calls.stop(new BackendServerCalls.StopRequest(order.server(), order.term(), order.task(), order.attempt()))
                .onComplete(result -> {
                    if (stopOfLife != life || order.term() < highestTerm) {
                        return;
                    }
                    boolean carriedOut = result.succeeded()
                            && (result.result() == BackendServerCalls.Answer.DONE
                                    || result.result() == BackendServerCalls.Answer.SUPERSEDED);
                    if (carriedOut) {
                        stopsInProgress.remove(key);
                        answer(order.task(), order.attempt(), OrderOutcome.STOPPED);
                        readNow();
                    } else {
                        LOGGER.info("the backend server has not confirmed the stop of {}; retrying", key);
                        vertx.setTimer(RETRY_MILLISECONDS, timer -> {
                            if (stopOfLife == life && order.term() >= highestTerm) {
                                tryStop(order, key);
                            }
                        });
                    }
                });
    }

    private void answer(String task, int attempt, OrderOutcome outcome) {
        send(new OrderResult(
                announcement.description().server(),
                announcement.description().start(),
                task,
                attempt,
                outcome,
                operation));
    }
}
