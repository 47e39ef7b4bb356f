package org.teaselwood.agent.core;

import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.Answer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.TaskIdentifier;

/**
 * Delivers complete answers until their attempt is forgotten: on every new connection, to every new placer, and again
 * with exponential backoff. Sends at most one answer per tick, so that copies of a backlog of answers do not exhaust
 * the memory of the process. Answers beyond {@link AgentTimings#MAXIMUM_CACHED_ANSWER_BYTES} are not cached, but
 * fetched from the worker again each time they are sent. Not thread-safe.
 */
final class AnswerSender {
    private final PartTable parts;
    private final EntryLink link;
    private final Map<TaskIdentifier, Delivery> deliveries = new TreeMap<>();
    private int cachedBytes;

    /** Delivery state of one answer. */
    private static final class Delivery {
        private Answer cached;
        private long nextSendAt;
        private long resendDelay = AgentTimings.ANSWER_RESEND_DELAY_MILLISECONDS;
    }

    AnswerSender(PartTable parts, EntryLink link) {
        this.parts = parts;
        this.link = link;
    }

    /** Sends a fetched answer, and caches it if the limit of cached bytes allows. */
    void fetched(Part part, Answer answer, long now) {
        Delivery delivery = deliveries.computeIfAbsent(part.task, ignored -> new Delivery());
        if (delivery.cached == null && cachedBytes + answer.length() <= AgentTimings.MAXIMUM_CACHED_ANSWER_BYTES) {
            delivery.cached = answer;
            cachedBytes += answer.length();
        }
        send(part, delivery, answer, now);
    }

    /** Schedules all answers to be sent again, on a new connection or to a new placer. */
    void resendAll() {
        deliveries.values().forEach(AnswerSender::resetBackoff);
    }

    /** Schedules the answer of one part to be sent again. */
    void resend(Part part) {
        Delivery delivery = deliveries.get(part.task);
        if (delivery != null) {
            resetBackoff(delivery);
        }
    }

    /** Drops the answer of a part from the cache and from delivery. */
    void drop(Part part) {
        Delivery delivery = deliveries.remove(part.task);
        if (delivery != null && delivery.cached != null) {
            cachedBytes -= delivery.cached.length();
        }
    }

    /** Sends one cached answer that is due. */
    void tick(long now) {
        if (!link.isHelloSent()) {
            return;
        }
        deliveries.entrySet().stream()
                .filter(entry -> entry.getValue().cached != null && entry.getValue().nextSendAt <= now)
                .findFirst()
                .ifPresent(entry -> send(parts.find(entry.getKey()), entry.getValue(), entry.getValue().cached, now));
    }

    /** Returns whether an answer that is not cached is due and must be fetched from the worker. */
    boolean needsFetch(Part part, long now) {
        Delivery delivery = deliveries.get(part.task);
        return part.phase == PartPhase.SUCCEEDED
                && link.isHelloSent()
                && (delivery == null || delivery.cached == null && delivery.nextSendAt <= now);
    }

    private void send(Part part, Delivery delivery, Answer answer, long now) {
        delivery.nextSendAt = now + delivery.resendDelay;
        delivery.resendDelay =
                Math.min(2 * delivery.resendDelay, AgentTimings.MAXIMUM_ANSWER_RESEND_DELAY_MILLISECONDS);
        link.send(new AgentMessage.AnswerPart(
                part.task.attempt(), part.task.part(), answer.content(), answer.length(), answer.checksum()));
    }

    private static void resetBackoff(Delivery delivery) {
        delivery.nextSendAt = 0;
        delivery.resendDelay = AgentTimings.ANSWER_RESEND_DELAY_MILLISECONDS;
    }
}
