package org.teaselwood.entry.configuration;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.teaselwood.protocol.message.EntryMessage;

/**
 * Takes the configuration from a peer that is ahead and hands it to one that is behind. Confined to one thread.
 *
 * <p>A peer that is behind asks, rather than every peer that is ahead sending unasked: after a change all entries would
 * otherwise send it to each other. While the key-value service answers, it is asked first, because one read there is
 * enough for the newest revision.
 */
final class PeerConfigurations {
    /** Time in which the key-value service may give the newer revision before peers are asked. */
    private static final long STORE_FIRST_MILLISECONDS = 500;

    /** Time for a peer's answer before the next one is asked. */
    private static final long ANSWER_MILLISECONDS = 1_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final ConfigurationCore core;
    private final ConfigurationEffects effects;
    private final Map<String, Peer> peers = new TreeMap<>();
    private long behindSince = NEVER;
    private long nextRequest = NEVER;

    /** Revision that a peer has in force, and when it was last asked. */
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

    /** A peer asked for something newer than the given revision. */
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
        boolean storeHadItsTime = nowMilliseconds - behindSince >= STORE_FIRST_MILLISECONDS;
        if ((core.storeIsDown() || storeHadItsTime) && nowMilliseconds >= nextRequest) {
            askOne(nowMilliseconds);
        }
    }

    /** Asks the peer that was asked longest ago among those that are ahead, so that a silent one is passed over. */
    private void askOne(long nowMilliseconds) {
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
                    nextRequest = nowMilliseconds + ANSWER_MILLISECONDS;
                    effects.sendToPeer(entry.getKey(), new EntryMessage.ConfigurationRequest(revision));
                });
    }
}
