package org.teaselwood.entry.placer;

import org.teaselwood.entry.relay.AgentState;
import org.teaselwood.model.BackendServer;
import org.teaselwood.protocol.message.AgentMessage.AgentHello;

/** The placer's view of an agent. */
final class KnownAgent {
    private static final long NOT_SILENT = -1;

    private AgentState state;
    private String relay;
    /** Time of the last contact with an unresponsive agent. */
    private long silentSince = NOT_SILENT;
    /** Whether the policy may use the backend server. */
    private boolean joined;

    /** Whether the backend server was reported to the policy as unavailable because its agent is unresponsive. */
    private boolean suspected;

    private boolean lost;

    KnownAgent(AgentHello hello, String relay) {
        greeted(hello, relay);
    }

    void greeted(AgentHello hello, String newRelay) {
        state = new AgentState(hello);
        relay = newRelay;
        silentSince = NOT_SILENT;
        lost = false;
    }

    void heard() {
        silentSince = NOT_SILENT;
    }

    boolean silentFor(long since) {
        boolean first = silentSince == NOT_SILENT;
        silentSince = first ? since : Math.min(silentSince, since);
        return first;
    }

    boolean silent() {
        return silentSince != NOT_SILENT;
    }

    long silence(long now) {
        return silent() ? now - silentSince : 0;
    }

    void joined(boolean usable) {
        joined = usable;
        suspected = false;
    }

    void suspect() {
        joined = false;
        suspected = true;
    }

    boolean suspected() {
        return suspected;
    }

    boolean joined() {
        return joined;
    }

    void lose() {
        lost = true;
        joined = false;
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
