package org.teaselwood.entry.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.teaselwood.model.TeaselwoodException;

/**
 * Client of the key-value service: dispatches replies to the consumers of their calls and tracks whether the service is
 * reachable. Confined to the core's thread.
 */
public final class StoreClient {
    private static final String PROBE_KEY = "/teaselwood/configuration/head";
    private static final long PROBE_MILLISECONDS = 1_000;

    private final EntryEffects effects;
    private final Map<Long, Consumer<StoreReply>> pendingConsumers = new HashMap<>();
    private long nextToken = 1;
    private boolean reachable = true;
    private long probedAt;

    StoreClient(EntryEffects effects) {
        this.effects = effects;
    }

    /** Calls the service. The consumer gets exactly one reply. */
    public void call(StoreCall call, Consumer<StoreReply> consumer) {
        long token = nextToken++;
        pendingConsumers.put(token, consumer);
        effects.callStore(token, call);
    }

    /** Returns whether the service answered the call that ended last. */
    public boolean reachable() {
        return reachable;
    }

    /** Returns whether no call is open. */
    public boolean idle() {
        return pendingConsumers.isEmpty();
    }

    void replied(long token, StoreReply reply) {
        Consumer<StoreReply> consumer = pendingConsumers.remove(token);
        if (consumer == null) {
            return;
        }
        reachable = !(reply instanceof StoreReply.Unavailable);
        try {
            consumer.accept(reply);
        } catch (TeaselwoodException exception) {
            // A value that another program corrupted must not stop the entry.
            effects.log("ignored an invalid value from the key-value service: " + exception.getMessage(), "", "");
        }
    }

    void tick(long now) {
        if (!reachable && pendingConsumers.isEmpty() && now - probedAt >= PROBE_MILLISECONDS) {
            probedAt = now;
            call(new StoreCall.Get(PROBE_KEY), reply -> {});
        }
    }
}
