package org.teaselwood.agent.core;

import org.teaselwood.protocol.message.AgentMessage;

/**
 * State of the connection to the entry: sends heartbeats and detects an unresponsive entry. Messages are dropped until
 * AgentHello is sent, because AgentHello carries the whole state. Not thread-safe.
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

    /** Switches to a new connection and closes the one that it replaces. */
    void opened(long opened) {
        if (link != opened) {
            close();
        }
        link = opened;
        introduced = false;
    }

    /** Handles a closed connection; returns whether it was the current one. */
    boolean closed(long closed) {
        if (link != closed) {
            return false;
        }
        link = NONE;
        introduced = false;
        return true;
    }

    /** Closes the current connection, if any. */
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

    /** Returns whether a connection is open on which AgentHello has not been sent. */
    boolean needsIntroduction() {
        return link != NONE && !introduced;
    }

    /** Returns whether AgentHello was sent on the current connection, so that messages are sent. */
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
            effects.logged("entry is unresponsive; connecting to another entry", "");
            close();
        } else if (now >= nextHeartbeat) {
            nextHeartbeat = now + AgentTimings.HEARTBEAT_MILLISECONDS;
            heartbeatSequence++;
            effects.send(link, new AgentMessage.AgentHeartbeat(heartbeatSequence));
        }
    }
}
