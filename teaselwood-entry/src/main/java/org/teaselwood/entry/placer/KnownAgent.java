package org.teaselwood.entry.placer;

import org.teaselwood.entry.relay.AgentState;
import org.teaselwood.model.BackendServer;
import org.teaselwood.protocol.message.AgentMessage.AgentHello;

/** The placer's view of an agent. */
final class KnownAgent {
    private static final long RESPONSIVE = -1;

    private AgentState state;
    private String relay;
    /** Time of the last contact with an unresponsive agent. */
    private long unresponsiveSince = RESPONSIVE;
    /** Whether the policy may use the backend server. */
    private boolean usable;

    /** Whether the backend server was reported to the policy as unavailable because its agent is unresponsive. */
    private boolean suspected;

    private boolean lost;

    KnownAgent(AgentHello hello, String relay) {
        helloReceived(hello, relay);
    }

    void helloReceived(AgentHello hello, String newRelay) {
        state = new AgentState(hello);
        relay = newRelay;
        unresponsiveSince = RESPONSIVE;
        lost = false;
    }

    void recordContact() {
        unresponsiveSince = RESPONSIVE;
    }

    /** Records that there was no contact since a time. Returns whether the agent was responsive until now. */
    boolean markUnresponsive(long since) {
        boolean first = unresponsiveSince == RESPONSIVE;
        unresponsiveSince = first ? since : Math.min(unresponsiveSince, since);
        return first;
    }

    boolean unresponsive() {
        return unresponsiveSince != RESPONSIVE;
    }

    long unresponsiveMilliseconds(long now) {
        return unresponsive() ? now - unresponsiveSince : 0;
    }

    void setUsable(boolean newUsable) {
        usable = newUsable;
        suspected = false;
    }

    void suspect() {
        usable = false;
        suspected = true;
    }

    boolean suspected() {
        return suspected;
    }

    boolean usable() {
        return usable;
    }

    void markLost() {
        lost = true;
        usable = false;
        suspected = false;
    }

    boolean lost() {
        return lost;
    }

    AgentState state() {
        return state;
    }

    BackendServer server() {
        return state.server();
    }

    String name() {
        return state.server().name();
    }

    String incarnation() {
        return state.incarnation();
    }

    String relay() {
        return relay;
    }
}
