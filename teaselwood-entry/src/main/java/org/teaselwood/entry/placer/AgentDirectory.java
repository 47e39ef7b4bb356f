package org.teaselwood.entry.placer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaselwood.protocol.message.AgentMessage.AgentHello;

/**
 * The agents of the region and the relay through which each one is connected. A snapshot does not reassign an agent
 * that is responsive through another relay, because the relay that sends the snapshot may not have detected yet that
 * the agent disconnected from it.
 */
final class AgentDirectory {
    private final Map<String, KnownAgent> agents = new TreeMap<>();

    /**
     * Records a hello message.
     *
     * @param snapshot whether the relay built the message from its own state, as part of a snapshot
     * @return the agent, empty if the message is part of a snapshot and the agent is responsive through another relay
     */
    Optional<KnownAgent> helloReceived(String relay, AgentHello hello, boolean snapshot) {
        KnownAgent agent = agents.get(hello.server().name());
        if (agent == null) {
            agent = new KnownAgent(hello, relay);
            agents.put(agent.name(), agent);
            return Optional.of(agent);
        }
        boolean connectedElsewhere = !agent.relay().equals(relay) && !agent.unresponsive();
        if (snapshot && connectedElsewhere) {
            return Optional.empty();
        }
        agent.helloReceived(hello, relay);
        return Optional.of(agent);
    }

    /** Returns the sender of a message, empty if the incarnation or the relay is not the agent's current one. */
    Optional<KnownAgent> sender(String relay, String server, String incarnation) {
        return find(server)
                .filter(agent -> agent.incarnation().equals(incarnation))
                .filter(agent -> agent.relay().equals(relay));
    }

    Optional<KnownAgent> find(String server) {
        return Optional.ofNullable(agents.get(server));
    }

    /** Returns the agents that are connected through a relay. */
    List<KnownAgent> of(String relay) {
        return agents.values().stream()
                .filter(agent -> agent.relay().equals(relay))
                .toList();
    }

    Collection<KnownAgent> all() {
        return agents.values();
    }

    void remove(KnownAgent agent) {
        agents.remove(agent.name());
    }

    void clear() {
        agents.clear();
    }
}
