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
 * The entries of the region that this entry considers alive. Entries find each other through the seeds and tell each
 * other whom they know; the one with the lower identifier opens the connection, the other one only when that does not
 * happen. An entry is removed from the ranking when no heartbeat came for the suspicion time.
 */
public final class Membership {
    private static final long RETRY_MILLISECONDS = 1_000;
    /** A seed that is not the address of a known entry is tried at this interval, so that separated groups meet. */
    private static final long SEED_RETRY_MILLISECONDS = 10_000;

    /** The ranking is asked for with every event and is computed again after this time. */
    private static final long RANKING_MILLISECONDS = 20;

    /** A connection over which nothing came for this many suspicion times is closed, because its peer may be gone. */
    private static final int DEAD_LINK_SUSPICIONS = 3;

    private static final long FORGET_MILLISECONDS = 10 * 60 * 1000;

    private final EntryContext context;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<Long, String> entryOfLink = new HashMap<>();
    private final Set<Long> openedHere = new HashSet<>();
    /** Earliest time of the next connection to an address, by host and port. */
    private final Map<String, Long> retryAt = new TreeMap<>();

    private List<String> ranking = List.of();
    private long rankedAt = Long.MIN_VALUE;
    private long heartbeatAt = Long.MIN_VALUE;
    private List<EntryAddress> announced = List.of();

    /** Membership of an entry that knows only its seeds. */
    public Membership(EntryContext context) {
        this.context = context;
    }

    /** A connection that this entry opened is ready. */
    public void connected(long link) {
        openedHere.add(link);
        context.effects().send(link, hello());
    }

    /**
     * The peer of a connection introduced itself.
     *
     * @return whether it is an entry of this region
     */
    public boolean greeted(long link, EntryMessage.EntryHello message) {
        String entry = message.address().entry();
        if (entry.equals(context.self())
                || !message.region().equals(context.settings().region())) {
            close(link);
            return false;
        }
        Peer peer = peers.computeIfAbsent(entry, name -> new Peer(message.address(), context.now()));
        peer.greeted(message, link, context.now()).forEach(this::close);
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

    /** A heartbeat arrived. */
    public void heard(String entry, EntryMessage.EntryHeartbeat message) {
        Peer peer = peers.get(entry);
        if (peer != null) {
            peer.heard(message, context.now());
            rankedAt = Long.MIN_VALUE;
            context.observeTerm(message.term());
        }
    }

    /** A peer told whom it knows. */
    public void learned(List<EntryAddress> addresses) {
        addresses.stream()
                .filter(address -> !address.entry().equals(context.self()))
                .filter(address -> !peers.containsKey(address.entry()))
                .forEach(address -> {
                    peers.put(address.entry(), new Peer(address, context.now()));
                    if (context.self().compareTo(address.entry()) > 0) {
                        retryAt.putIfAbsent(place(address), context.now() + RETRY_MILLISECONDS);
                    }
                });
    }

    /** A connection closed. */
    public void closed(long link) {
        openedHere.remove(link);
        String entry = entryOfLink.remove(link);
        if (entry != null) {
            peers.get(entry).closed(link);
        }
    }

    /**
     * Sends heartbeats and opens connections that are due.
     *
     * @return whether the set of entries that are alive changed
     */
    public boolean tick() {
        if (context.now() - context.timings().heartbeatMilliseconds() >= heartbeatAt) {
            announce();
        }
        peers.values().removeIf(peer -> peer.links().isEmpty() && context.now() - peer.heardAt() > FORGET_MILLISECONDS);
        long dead = DEAD_LINK_SUSPICIONS * context.timings().suspicionMilliseconds();
        peers.values().stream()
                .filter(peer -> context.now() - peer.heardAt() >= dead)
                .flatMap(peer -> List.copyOf(peer.links()).stream())
                .toList()
                .forEach(this::close);
        peers.values().stream()
                .filter(peer -> peer.links().isEmpty())
                .map(Peer::address)
                .forEach(address -> connect(address, RETRY_MILLISECONDS));
        Set<String> places = new TreeSet<>();
        peers.values().forEach(peer -> places.add(place(peer.address())));
        long interval = alive().isEmpty() ? RETRY_MILLISECONDS : SEED_RETRY_MILLISECONDS;
        context.settings().seeds().stream()
                .filter(seed -> !places.contains(place(seed)))
                .forEach(seed -> connect(seed, interval));
        return announceAddresses();
    }

    private boolean announceAddresses() {
        List<EntryAddress> addresses = addresses();
        if (addresses.equals(announced)) {
            return false;
        }
        announced = addresses;
        EntryMessage message = new EntryMessage.KnownEntries(addresses);
        peers.values()
                .forEach(peer -> peer.link().ifPresent(link -> context.effects().send(link, message)));
        return true;
    }

    /** Sends a heartbeat to every peer now. */
    public void announce() {
        heartbeatAt = context.now();
        rankedAt = Long.MIN_VALUE;
        EntryMessage.EntryHeartbeat message = heartbeat();
        peers.values()
                .forEach(peer -> peer.link().ifPresent(link -> context.effects().send(link, message)));
    }

    /** The entry at the other end of a connection. */
    public Optional<String> entryOf(long link) {
        return Optional.ofNullable(entryOfLink.get(link));
    }

    /** The connection to an entry. */
    public Optional<Long> linkOf(String entry) {
        return Optional.ofNullable(peers.get(entry)).flatMap(Peer::link);
    }

    /** Rises whenever a connection to the entry opened or closed. */
    public long generationOf(String entry) {
        return Optional.ofNullable(peers.get(entry)).map(Peer::generation).orElse(0L);
    }

    /** Other entries that are alive, leaving ones included, ordered by identifier. */
    public List<String> alive() {
        return peers.entrySet().stream()
                .filter(entry -> isAlive(entry.getValue()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Whether an entry is alive; this one always is. */
    public boolean isAlive(String entry) {
        return entry.equals(context.self())
                || Optional.ofNullable(peers.get(entry)).filter(this::isAlive).isPresent();
    }

    /** Entries that may be placer, the first being the placer and the second its standby. */
    public List<String> ranking() {
        if (context.now() - RANKING_MILLISECONDS >= rankedAt) {
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

    /** Whether an entry may be placer and ranks above this one. */
    public boolean ranksAboveSelf(String entry) {
        List<String> ranking = ranking();
        int position = ranking.indexOf(entry);
        int own = ranking.indexOf(context.self());
        return position >= 0 && (own < 0 || position < own);
    }

    /** Addresses of this entry and of those that are alive. */
    public List<EntryAddress> addresses() {
        return Stream.concat(
                        Stream.of(context.settings().self()),
                        peers.values().stream().filter(this::isAlive).map(Peer::address))
                .toList();
    }

    /** Lowest configuration revision in force at any entry that is alive. */
    public long lowestRevision() {
        return peers.values().stream()
                .filter(this::isAlive)
                .mapToLong(Peer::revision)
                .reduce(context.configuration().revision(), Math::min);
    }

    private boolean isAlive(Peer peer) {
        return peer.alive(context.now(), context.timings().suspicionMilliseconds());
    }

    /** Closes a connection and forgets it, whether or not its closing is reported. */
    private void close(long link) {
        context.effects().closeLink(link);
        closed(link);
    }

    private void connect(EntryAddress address, long interval) {
        String place = place(address);
        if (place.equals(place(context.settings().self()))
                || retryAt.getOrDefault(place, Long.MIN_VALUE) > context.now()) {
            return;
        }
        retryAt.put(place, context.now() + interval);
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

    private static String place(EntryAddress address) {
        return address.host() + ':' + address.port();
    }
}
