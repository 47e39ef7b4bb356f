package org.teaselwood.entry.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.EntryMessage;

/** State of another entry of the region as observed by this entry. Confined to the core's thread. */
final class Peer {
    private EntryAddress address;
    /**
     * Open connections in the order of their handshakes. Messages are sent over the newest; an older one may be dead.
     */
    private final Set<Long> links = new LinkedHashSet<>();

    private String incarnation = "";
    /**
     * Counter that rises whenever a connection is opened or closed, so that requests sent over an older connection are
     * sent again.
     */
    private long generation;

    private long lastContactAt;
    private EntryMessage.EntryHeartbeat heartbeat;

    Peer(EntryAddress address, long now) {
        this.address = address;
        this.lastContactAt = now;
    }

    /** Records a hello. Returns the connections of an earlier incarnation, which are dead. */
    List<Long> helloReceived(EntryMessage.EntryHello hello, long link, long now) {
        List<Long> dead = List.of();
        if (!incarnation.equals(hello.incarnation())) {
            heartbeat = null;
            dead = List.copyOf(links);
        }
        links.remove(link);
        address = hello.address();
        incarnation = hello.incarnation();
        links.add(link);
        generation++;
        lastContactAt = now;
        return dead;
    }

    void heartbeatReceived(EntryMessage.EntryHeartbeat message, long now) {
        heartbeat = message;
        lastContactAt = now;
    }

    void closed(long link) {
        links.remove(link);
        generation++;
    }

    Set<Long> links() {
        return links;
    }

    Optional<Long> link() {
        return links.stream().reduce((older, newer) -> newer);
    }

    EntryAddress address() {
        return address;
    }

    long generation() {
        return generation;
    }

    long lastContactAt() {
        return lastContactAt;
    }

    boolean alive(long now, long suspicionMilliseconds) {
        return heartbeat != null && now - lastContactAt < suspicionMilliseconds;
    }

    boolean eligible() {
        return heartbeat != null && heartbeat.ready() && !heartbeat.leaving();
    }

    long revision() {
        return heartbeat == null ? 0 : heartbeat.configurationRevision();
    }
}
