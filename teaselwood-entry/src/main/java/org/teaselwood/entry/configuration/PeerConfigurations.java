package org.teaselwood.entry.configuration;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.protocol.message.EntryMessage;

/**
 * Requests the configuration from a peer that is ahead and sends it to one that is behind. Confined to one thread.
 *
 * <p>An entry that is behind requests the configuration; peers that are ahead do not send it on their own, because
 * after a change all entries would send it to each other. While the key-value service is reachable it is read first,
 * because one read returns the newest revision.
 */
final class PeerConfigurations {
    /** Time that the key-value service has to return the newer revision before a peer is asked. */
    private static final long STORE_GRACE_MILLISECONDS = 500;

    /** Time that a peer has to answer before the next one is asked. */
    private static final long REPLY_TIMEOUT_MILLISECONDS = 1_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final ConfigurationCore core;
    private final ConfigurationEffects effects;
    private final Map<String, Peer> peers = new TreeMap<>();
    private long behindSince = NEVER;
    private long nextRequestAt = NEVER;

    /** Revision that a peer has in force, and the time of the last request to it. Immutable. */
    private record Peer(long revision, long lastAsked) {}

    PeerConfigurations(ConfigurationCore core, ConfigurationEffects effects) {
        this.core = core;
        this.effects = effects;
    }

    void reported(String peer, long revision) {
        long lastAsked = peers.containsKey(peer) ? peers.get(peer).lastAsked() : NEVER;
        peers.put(peer, new Peer(revision, lastAsked));
    }

    void gone(String peer) {
        peers.remove(peer);
    }

    /** Sends the configuration to a peer that requested a newer revision than the given one. */
    void requested(String peer, long revision) {
        if (core.current().revision() > revision) {
            effects.sendToPeer(peer, new EntryMessage.ConfigurationDocument(core.current()));
        }
    }

    void tick(long nowMilliseconds) {
        if (!core.isBehind()) {
            behindSince = NEVER;
            return;
        }
        if (behindSince == NEVER) {
            behindSince = nowMilliseconds;
        }
        boolean storeGraceElapsed = nowMilliseconds - behindSince >= STORE_GRACE_MILLISECONDS;
        if ((core.isStoreUnavailable() || storeGraceElapsed) && nowMilliseconds >= nextRequestAt) {
            requestFromPeer(nowMilliseconds);
        }
    }

    /**
     * Requests the configuration from a peer that is ahead. The least recently asked one is selected, so that an
     * unresponsive peer does not block the others.
     */
    private void requestFromPeer(long nowMilliseconds) {
        long revision = core.current().revision();
        Comparator<Map.Entry<String, Peer>> byLastAsked =
                Comparator.comparingLong(entry -> entry.getValue().lastAsked());
        peers.entrySet().stream()
                .filter(entry -> entry.getValue().revision() > revision)
                .min(byLastAsked
                        .thenComparing(entry -> -entry.getValue().revision())
                        .thenComparing(Map.Entry::getKey))
                .ifPresent(entry -> {
                    entry.setValue(new Peer(entry.getValue().revision(), nowMilliseconds));
                    nextRequestAt = nowMilliseconds + REPLY_TIMEOUT_MILLISECONDS;
                    effects.sendToPeer(entry.getKey(), new EntryMessage.ConfigurationRequest(revision));
                });
    }
}
