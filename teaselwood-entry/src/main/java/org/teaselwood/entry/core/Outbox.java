package org.teaselwood.entry.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.entry.membership.Membership;
import org.teaselwood.model.Term;
import org.teaselwood.protocol.message.AgentCommand;
import org.teaselwood.protocol.message.AgentMessage;
import org.teaselwood.protocol.message.EntryMessage;

/**
 * Sends messages to entries, including this one, and collects messages from and to agents into batches. The order of
 * messages to one entry is kept. Batches are sent at the end of an event, but at most every {@value
 * #BATCH_MILLISECONDS} ms, so that a burst of events shares a frame; batches that are not due wait for the next event.
 * Confined to the core's thread.
 */
public final class Outbox {
    private static final long BATCH_MILLISECONDS = 1;
    private static final int BATCH_BYTES = 256 * 1024;
    private static final int MESSAGE_BYTES = 300;
    private static final int PART_BYTES = 600;

    private final EntryContext context;
    private final Membership membership;
    private final Deque<EntryMessage> local = new ArrayDeque<>();
    private final Map<String, Batch<EntryMessage.FromAgent>> fromAgents = new TreeMap<>();
    private final Map<String, Batch<EntryMessage.ToAgent>> toAgents = new TreeMap<>();
    private Term term = Term.NONE;
    private long flushedAt = Long.MIN_VALUE;

    Outbox(EntryContext context, Membership membership) {
        this.context = context;
        this.membership = membership;
    }

    /**
     * Sends a message to an entry after everything that is batched for it. The message is dropped if the entry
     * is not connected.
     */
    public void toEntry(String entry, EntryMessage message) {
        flushFromAgents(entry);
        flushToAgents(entry);
        deliver(entry, message);
    }

    /** Adds a command of this placer to the batch for a relay. A batch contains commands of one term only. */
    public void toAgent(Term commandTerm, String relay, String server, AgentCommand command) {
        if (!commandTerm.equals(term)) {
            flush();
            term = commandTerm;
        }
        Batch<EntryMessage.ToAgent> batch = toAgents.computeIfAbsent(relay, name -> new Batch<>());
        batch.add(new EntryMessage.ToAgent(server, command), sizeOf(command));
        if (batch.bytes >= BATCH_BYTES) {
            flushToAgents(relay);
        }
    }

    /** Adds a message of an agent to the batch for a placer. */
    public void fromAgent(String placer, EntryMessage.FromAgent message) {
        int bytes = sizeOf(message.message());
        Batch<EntryMessage.FromAgent> batch = fromAgents.computeIfAbsent(placer, name -> new Batch<>());
        if (batch.bytes + bytes > BATCH_BYTES) {
            flushFromAgents(placer);
            batch = fromAgents.computeIfAbsent(placer, name -> new Batch<>());
        }
        batch.add(message, bytes);
    }

    /** Returns the next message of this entry to itself, or null if there is none. */
    EntryMessage nextLocalMessage() {
        return local.poll();
    }

    /** Returns whether the batches are due. */
    boolean batchesDue() {
        return context.now() - BATCH_MILLISECONDS >= flushedAt;
    }

    /** Delivers the batches that this entry addressed to itself, which need no batching interval. */
    void flushLocal() {
        flushFromAgents(context.self());
        flushToAgents(context.self());
    }

    void flush() {
        flushedAt = context.now();
        List.copyOf(fromAgents.keySet()).forEach(this::flushFromAgents);
        List.copyOf(toAgents.keySet()).forEach(this::flushToAgents);
    }

    /** Returns the estimated size of an agent's message on the wire, in bytes. */
    public static int sizeOf(AgentMessage message) {
        return switch (message) {
            case AgentMessage.AnswerPart answer -> MESSAGE_BYTES + answer.content().length;
            case AgentMessage.AgentHello hello ->
                MESSAGE_BYTES
                        + hello.parts().stream()
                                .mapToInt(part -> PART_BYTES
                                        + textBytes(part.specification().parameters()))
                                .sum();
            default -> MESSAGE_BYTES;
        };
    }

    /** Returns the estimated size of texts on the wire, in bytes. */
    public static int textBytes(Map<String, String> texts) {
        return texts.entrySet().stream()
                .mapToInt(
                        entry -> 3 * (entry.getKey().length() + entry.getValue().length()))
                .sum();
    }

    private static int sizeOf(AgentCommand command) {
        return command instanceof AgentCommand.Hold hold
                ? PART_BYTES + textBytes(hold.specification().parameters())
                : MESSAGE_BYTES;
    }

    private void flushFromAgents(String placer) {
        Batch<EntryMessage.FromAgent> batch = fromAgents.remove(placer);
        if (batch != null) {
            deliver(placer, new EntryMessage.FromAgents(context.self(), batch.elements));
        }
    }

    private void flushToAgents(String relay) {
        Batch<EntryMessage.ToAgent> batch = toAgents.remove(relay);
        if (batch != null) {
            deliver(relay, new EntryMessage.ToAgents(term, batch.elements));
        }
    }

    private void deliver(String entry, EntryMessage message) {
        if (entry.equals(context.self())) {
            local.add(message);
        } else {
            membership.linkOf(entry).ifPresent(link -> context.effects().send(link, message));
        }
    }

    /** Messages that are sent together, with their estimated size in bytes. */
    private static final class Batch<T> {
        private final List<T> elements = new ArrayList<>();
        private int bytes;

        void add(T element, int size) {
            elements.add(element);
            bytes += size;
        }
    }
}
