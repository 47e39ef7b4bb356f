package org.teaselwood.entry.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.protocol.message.AgentCommand.EntryAddress;
import org.teaselwood.protocol.message.EntryMessage;

/**
 * Entries of the region that this entry considers alive. Entries discover each other through the seeds and exchange the
 * addresses that they know. Of two entries the one with the lower identifier opens the connection; the other one opens
 * it only if that does not happen. An entry is removed from the ranking when no heartbeat arrived for the suspicion
 * time. Confined to the core's thread.
 */
public final class Membership {
    private static final long RETRY_MILLISECONDS = 1_000;
    /**
     * A seed that is not the address of a known entry is tried at this interval, so that groups of entries that were
     * separated join again.
     */
    private static final long SEED_RETRY_MILLISECONDS = 10_000;

    /** Validity of the computed ranking, which is needed on every event. */
    private static final long RANKING_VALIDITY_MILLISECONDS = 20;

    /** A connection is closed after this many suspicion times without contact, because its peer may be gone. */
    private static final int DEAD_LINK_SUSPICION_TIMES = 3;

    private static final long PEER_RETENTION_MILLISECONDS = 10 * 60 * 1000;

    private final EntryContext context;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<Long, String> entryOfLink = new HashMap<>();
    private final Set<Long> openedHere = new HashSet<>();
    /** Earliest time of the next attempt to connect to an address, by host and port. */
    private final Map<String, Long> retryAt = new TreeMap<>();

    private List<String> ranking = List.of();
    private long rankedAt = Long.MIN_VALUE;
    private long heartbeatAt = Long.MIN_VALUE;
    private List<EntryAddress> announcedAddresses = List.of();

    /** Creates the membership of an entry that knows only its seeds. */
    public Membership(EntryContext context) {
        this.context = context;
    }

    /** Sends a hello over a connection that this entry opened. */
    public void connected(long link) {
        openedHere.add(link);
        context.effects().send(link, hello());
    }

    /**
     * Handles the hello of the peer of a connection.
     *
     * @return whether the peer is another entry of this region; the connection is closed otherwise
     */
    public boolean helloReceived(long link, EntryMessage.EntryHello message) {
        String entry = message.address().entry();
        if (entry.equals(context.self())
                || !message.region().equals(context.settings().region())) {
            close(link);
            return false;
        }
        Peer peer = peers.computeIfAbsent(entry, name -> new Peer(message.address(), context.now()));
        peer.helloReceived(message, link, context.now()).forEach(this::close);
        entryOfLink.put(link, entry);
        if (!openedHere.contains(link)) {
            context.effects().send(link, hello());
        }
        context.effects().send(link, heartbeat());
        context.effects().send(link, new EntryMessage.KnownEntries(addresses()));
        if (context.self().compareTo(entry) < 0) {
            peer.links().stream().filter(open -> open != link).toList().forEach(this::close);
        }
        return true;
    }

    /** Records a heartbeat of a peer. */
    public void heartbeatReceived(String entry, EntryMessage.EntryHeartbeat message) {
        Peer peer = peers.get(entry);
        if (peer != null) {
            peer.heartbeatReceived(message, context.now());
            rankedAt = Long.MIN_VALUE;
            context.observeTerm(message.term());
        }
    }

    /** Adds the entries that a peer knows. */
    public void knownEntriesReceived(List<EntryAddress> addresses) {
        addresses.stream()
                .filter(address -> !address.entry().equals(context.self()))
                .filter(address -> !peers.containsKey(address.entry()))
                .forEach(address -> {
                    peers.put(address.entry(), new Peer(address, context.now()));
                    if (context.self().compareTo(address.entry()) > 0) {
                        retryAt.putIfAbsent(endpointOf(address), context.now() + RETRY_MILLISECONDS);
                    }
                });
    }

    /** Removes a connection that was closed. */
    public void closed(long link) {
        openedHere.remove(link);
        String entry = entryOfLink.remove(link);
        if (entry != null) {
            peers.get(entry).closed(link);
        }
    }

    /**
     * Sends heartbeats that are due, closes connections without contact and opens missing ones.
     *
     * @return whether the addresses of the entries that are alive changed
     */
    public boolean tick() {
        if (context.now() - context.timings().heartbeatMilliseconds() >= heartbeatAt) {
            sendHeartbeats();
        }
        peers.values()
                .removeIf(peer ->
                        peer.links().isEmpty() && context.now() - peer.lastContactAt() > PEER_RETENTION_MILLISECONDS);
        long deadLinkMilliseconds =
                DEAD_LINK_SUSPICION_TIMES * context.timings().suspicionMilliseconds();
        peers.values().stream()
                .filter(peer -> context.now() - peer.lastContactAt() >= deadLinkMilliseconds)
                .flatMap(peer -> List.copyOf(peer.links()).stream())
                .toList()
                .forEach(this::close);
        peers.values().stream()
                .filter(peer -> peer.links().isEmpty())
                .map(Peer::address)
                .forEach(address -> connect(address, RETRY_MILLISECONDS));
        Set<String> knownEndpoints = new TreeSet<>();
        peers.values().forEach(peer -> knownEndpoints.add(endpointOf(peer.address())));
        long interval = alive().isEmpty() ? RETRY_MILLISECONDS : SEED_RETRY_MILLISECONDS;
        context.settings().seeds().stream()
                .filter(seed -> !knownEndpoints.contains(endpointOf(seed)))
                .forEach(seed -> connect(seed, interval));
        return announceAddresses();
    }

    private boolean announceAddresses() {
        List<EntryAddress> addresses = addresses();
        if (addresses.equals(announcedAddresses)) {
            return false;
        }
        announcedAddresses = addresses;
        EntryMessage message = new EntryMessage.KnownEntries(addresses);
        peers.values()
                .forEach(peer -> peer.link().ifPresent(link -> context.effects().send(link, message)));
        return true;
    }

    /** Sends a heartbeat to every peer now. */
    public void sendHeartbeats() {
        heartbeatAt = context.now();
        rankedAt = Long.MIN_VALUE;
        EntryMessage.EntryHeartbeat message = heartbeat();
        peers.values()
                .forEach(peer -> peer.link().ifPresent(link -> context.effects().send(link, message)));
    }

    /** Returns the entry at the other end of a connection. */
    public Optional<String> entryOf(long link) {
        return Optional.ofNullable(entryOfLink.get(link));
    }

    /** Returns the connection to an entry. */
    public Optional<Long> linkOf(String entry) {
        return Optional.ofNullable(peers.get(entry)).flatMap(Peer::link);
    }

    /** Returns a counter that rises whenever a connection to the entry is opened or closed. */
    public long connectionGeneration(String entry) {
        return Optional.ofNullable(peers.get(entry)).map(Peer::generation).orElse(0L);
    }

    /** Returns the other entries that are alive, including those that are shutting down, ordered by identifier. */
    public List<String> alive() {
        return peers.entrySet().stream()
                .filter(entry -> isAlive(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether an entry is alive; this one always is. */
    public boolean isAlive(String entry) {
        return entry.equals(context.self())
                || Optional.ofNullable(peers.get(entry)).filter(this::isAlive).isPresent();
    }

    /** Returns the entries that may be placer in order of rank: the first is the placer, the second its standby. */
    public List<String> ranking() {
        if (context.now() - RANKING_VALIDITY_MILLISECONDS >= rankedAt) {
            rankedAt = context.now();
            ranking = rank();
        }
        return ranking;
    }

    private List<String> rank() {
        Stream<String> self = context.eligible() ? Stream.of(context.self()) : Stream.empty();
        Stream<String> others = peers.entrySet().stream()
                .filter(entry -> isAlive(entry.getValue()) && entry.getValue().eligible())
                .map(Map.Entry::getKey);
        return RendezvousRanking.rank(
                context.settings().region(), Stream.concat(self, others).toList());
    }

    /** Returns whether an entry may be placer and ranks above this one. */
    public boolean ranksAboveSelf(String entry) {
        List<String> ranking = ranking();
        int position = ranking.indexOf(entry);
        int own = ranking.indexOf(context.self());
        return position >= 0 && (own < 0 || position < own);
    }

    /** Returns the addresses of this entry and of those that are alive. */
    public List<EntryAddress> addresses() {
        return Stream.concat(
                        Stream.of(context.settings().self()),
                        peers.values().stream().filter(this::isAlive).map(Peer::address))
                .toList();
    }

    /** Returns the lowest configuration revision in force at any entry that is alive. */
    public long lowestRevision() {
        return peers.values().stream()
                .filter(this::isAlive)
                .mapToLong(Peer::revision)
                .reduce(context.configuration().revision(), Math::min);
    }

    private boolean isAlive(Peer peer) {
        return peer.alive(context.now(), context.timings().suspicionMilliseconds());
    }

    /** Closes a connection and removes it at once, because the close may not be reported. */
    private void close(long link) {
        context.effects().closeConnection(link);
        closed(link);
    }

    private void connect(EntryAddress address, long interval) {
        String endpoint = endpointOf(address);
        if (endpoint.equals(endpointOf(context.settings().self()))
                || retryAt.getOrDefault(endpoint, Long.MIN_VALUE) > context.now()) {
            return;
        }
        retryAt.put(endpoint, context.now() + interval);
        context.effects().connect(address);
    }

    private EntryMessage.EntryHello hello() {
        return new EntryMessage.EntryHello(
                context.settings().self(),
                context.settings().region(),
                context.settings().incarnation());
    }

    private EntryMessage.EntryHeartbeat heartbeat() {
        return new EntryMessage.EntryHeartbeat(
                context.self(),
                context.highestTerm(),
                context.configuration().revision(),
                context.leaving(),
                context.ready());
    }

    private static String endpointOf(EntryAddress address) {
        return address.host() + ':' + address.port();
    }
}
