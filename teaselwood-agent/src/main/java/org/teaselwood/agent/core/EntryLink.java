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
    private boolean helloSent;
    private long heartbeatSequence;
    private long nextHeartbeatAt;
    private long lastReceivedAt;

    EntryLink(AgentEffects effects) {
        this.effects = effects;
    }

    /** Switches to a new connection and closes the one that it replaces. */
    void opened(long newLink) {
        if (link != newLink) {
            close();
        }
        link = newLink;
        helloSent = false;
    }

    /** Handles a closed connection; returns whether it was the current one. */
    boolean closed(long closedLink) {
        if (link != closedLink) {
            return false;
        }
        link = NONE;
        helloSent = false;
        return true;
    }

    /** Closes the current connection, if any. */
    void close() {
        if (link != NONE) {
            long closing = link;
            link = NONE;
            helloSent = false;
            effects.closeConnection(closing);
        }
    }

    boolean isCurrent(long other) {
        return link == other;
    }

    /** Returns whether a connection is open on which AgentHello has not been sent. */
    boolean needsHello() {
        return link != NONE && !helloSent;
    }

    /** Returns whether AgentHello was sent on the current connection, so that messages are sent. */
    boolean isHelloSent() {
        return helloSent;
    }

    void sendHello(AgentMessage.AgentHello hello, long now) {
        helloSent = true;
        lastReceivedAt = now;
        nextHeartbeatAt = now + AgentTimings.HEARTBEAT_INTERVAL_MILLISECONDS;
        effects.send(link, hello);
    }

    void send(AgentMessage message) {
        if (helloSent) {
            effects.send(link, message);
        }
    }

    void recordReceived(long now) {
        lastReceivedAt = now;
    }

    void tick(long now) {
        if (!helloSent) {
            return;
        }
        if (now - lastReceivedAt >= AgentTimings.ENTRY_TIMEOUT_MILLISECONDS) {
            effects.log("entry is unresponsive; connecting to another entry", "");
            close();
        } else if (now >= nextHeartbeatAt) {
            nextHeartbeatAt = now + AgentTimings.HEARTBEAT_INTERVAL_MILLISECONDS;
            heartbeatSequence++;
            effects.send(link, new AgentMessage.AgentHeartbeat(heartbeatSequence));
        }
    }
}
