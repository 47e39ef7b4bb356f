package org.teaselwood.entry.placer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.teaselwood.protocol.message.AgentMessage.AgentHello;

/**
 * The agents of the region with their relays. A snapshot does not move an agent that is heard through another relay,
 * because the relay that sends it may not have noticed yet that the agent left.
 */
final class AgentDirectory {
    private final Map<String, KnownAgent> agents = new TreeMap<>();

    /**
     * Notes a hello.
     *
     * @param snapshot whether the relay made it of what it knew
     * @return the agent, empty when the hello is older than what is known
     */
    Optional<KnownAgent> greeted(String relay, AgentHello hello, boolean snapshot) {
        KnownAgent agent = agents.get(hello.server().name());
        if (agent == null) {
            agent = new KnownAgent(hello, relay);
            agents.put(agent.name(), agent);
            return Optional.of(agent);
        }
        boolean elsewhere = !agent.relay().equals(relay) && !agent.silent();
        if (snapshot && elsewhere) {
            return Optional.empty();
        }
        agent.greeted(hello, relay);
        return Optional.of(agent);
    }

    /** The agent a message comes from, empty when it is of an earlier incarnation or came by another way. */
    Optional<KnownAgent> source(String relay, String server, String incarnation) {
        return find(server)
                .filter(agent -> agent.incarnation().equals(incarnation))
                .filter(agent -> agent.relay().equals(relay));
    }

    Optional<KnownAgent> find(String server) {
        return Optional.ofNullable(agents.get(server));
    }

    /** Agents that are heard through a relay. */
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
