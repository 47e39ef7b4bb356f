package org.teaselwood.agent.core;

import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.model.Answer;
import org.teaselwood.model.PartPhase;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.worker.TaskIdentifier;

/**
 * Delivers whole answers until their attempt is forgotten: on every new connection, to every new placer, and again
 * after a growing time. One answer is sent at a time, at most every tick, so that a backlog does not fill the memory
 * of the process with copies. Answers beyond {@link AgentTimings#MAXIMUM_ANSWER_BYTES} are kept by the worker alone and
 * fetched again for every sending. Not thread-safe.
 */
final class AnswerSender {
    private final PartTable parts;
    private final EntryLink link;
    private final Map<TaskIdentifier, Delivery> deliveries = new TreeMap<>();
    private int keptBytes;

    /** State of one answer. */
    private static final class Delivery {
        private Answer kept;
        private long nextSending;
        private long repeatAfter = AgentTimings.ANSWER_REPEAT_MILLISECONDS;
    }

    AnswerSender(PartTable parts, EntryLink link) {
        this.parts = parts;
        this.link = link;
    }

    /** Takes a fetched answer, sends it, and keeps it if there is room. */
    void fetched(Part part, Answer answer, long now) {
        Delivery delivery = deliveries.computeIfAbsent(part.task, ignored -> new Delivery());
        if (delivery.kept == null && keptBytes + answer.length() <= AgentTimings.MAXIMUM_ANSWER_BYTES) {
            delivery.kept = answer;
            keptBytes += answer.length();
        }
        send(part, delivery, answer, now);
    }

    /** Sends all answers again, to a new connection or a new placer. */
    void repeatAll() {
        deliveries.values().forEach(AnswerSender::restart);
    }

    /** Sends the answer of one part again. */
    void repeat(Part part) {
        Delivery delivery = deliveries.get(part.task);
        if (delivery != null) {
            restart(delivery);
        }
    }

    /** Drops the answer of a part. */
    void drop(Part part) {
        Delivery delivery = deliveries.remove(part.task);
        if (delivery != null && delivery.kept != null) {
            keptBytes -= delivery.kept.length();
        }
    }

    /** Sends the next answer that is due. */
    void tick(long now) {
        if (!link.isIntroduced()) {
            return;
        }
        deliveries.entrySet().stream()
                .filter(entry -> entry.getValue().kept != null && entry.getValue().nextSending <= now)
                .findFirst()
                .ifPresent(entry -> send(parts.find(entry.getKey()), entry.getValue(), entry.getValue().kept, now));
    }

    /** Whether an answer that only the worker keeps is due and must be fetched. */
    boolean needsFetch(Part part, long now) {
        Delivery delivery = deliveries.get(part.task);
        return part.phase == PartPhase.SUCCEEDED
                && link.isIntroduced()
                && (delivery == null || delivery.kept == null && delivery.nextSending <= now);
    }

    private void send(Part part, Delivery delivery, Answer answer, long now) {
        delivery.nextSending = now + delivery.repeatAfter;
        delivery.repeatAfter = Math.min(2 * delivery.repeatAfter, AgentTimings.ANSWER_REPEAT_MAXIMUM_MILLISECONDS);
        link.send(new AgentMessage.AnswerPart(
                part.task.attempt(), part.task.part(), answer.content(), answer.length(), answer.checksum()));
    }

    private static void restart(Delivery delivery) {
        delivery.nextSending = 0;
        delivery.repeatAfter = AgentTimings.ANSWER_REPEAT_MILLISECONDS;
    }
}
