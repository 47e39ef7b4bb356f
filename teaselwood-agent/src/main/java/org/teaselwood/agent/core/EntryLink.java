package org.teaselwood.agent.core;

import org.teaselwood.protocol.message.AgentMessage;

/**
 * The connection to the entry: heartbeats, silence, and the rule that nothing is sent before AgentHello, which carries
 * the whole state. What is sent before is dropped on purpose. Not thread-safe.
 */
final class EntryLink {
    private static final long NONE = Long.MIN_VALUE;

    private final AgentEffects effects;
    private long link = NONE;
    private boolean introduced;
    private long heartbeatSequence;
    private long nextHeartbeat;
    private long lastReceived;

    EntryLink(AgentEffects effects) {
        this.effects = effects;
    }

    /** Uses a new connection and closes the one it replaces. */
    void opened(long opened) {
        if (link != opened) {
            close();
        }
        link = opened;
        introduced = false;
    }

    /** Forgets a connection that closed; true if it was the present one. */
    boolean closed(long closed) {
        if (link != closed) {
            return false;
        }
        link = NONE;
        introduced = false;
        return true;
    }

    /** Closes the connection, if there is one. */
    void close() {
        if (link != NONE) {
            long closing = link;
            link = NONE;
            introduced = false;
            effects.closeLink(closing);
        }
    }

    boolean isCurrent(long other) {
        return link == other;
    }

    /** Whether a connection is open on which AgentHello was not sent. */
    boolean needsIntroduction() {
        return link != NONE && !introduced;
    }

    /** Whether messages reach an entry now. */
    boolean isIntroduced() {
        return introduced;
    }

    void introduce(AgentMessage.AgentHello hello, long now) {
        introduced = true;
        lastReceived = now;
        nextHeartbeat = now + AgentTimings.HEARTBEAT_MILLISECONDS;
        effects.send(link, hello);
    }

    void send(AgentMessage message) {
        if (introduced) {
            effects.send(link, message);
        }
    }

    void received(long now) {
        lastReceived = now;
    }

    void tick(long now) {
        if (!introduced) {
            return;
        }
        if (now - lastReceived >= AgentTimings.ENTRY_SILENCE_MILLISECONDS) {
            effects.logged("entry is silent; connecting to another one", "");
            close();
        } else if (now >= nextHeartbeat) {
            nextHeartbeat = now + AgentTimings.HEARTBEAT_MILLISECONDS;
            heartbeatSequence++;
            effects.send(link, new AgentMessage.AgentHeartbeat(heartbeatSequence));
        }
    }
}
