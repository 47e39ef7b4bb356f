package org.teaselwood.entry.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.teaselwood.model.TeaselwoodException;

/** Connects replies of the key-value service to the calls they answer, and notes whether the service answers. */
public final class StoreClient {
    private static final String PROBE_KEY = "/teaselwood/configuration/head";
    private static final long PROBE_MILLISECONDS = 1_000;

    private final EntryEffects effects;
    private final Map<Long, Consumer<StoreReply>> open = new HashMap<>();
    private long nextToken = 1;
    private boolean reachable = true;
    private long probedAt;

    StoreClient(EntryEffects effects) {
        this.effects = effects;
    }

    /** Calls the service; the consumer gets the one reply. */
    public void call(StoreCall call, Consumer<StoreReply> consumer) {
        long token = nextToken++;
        open.put(token, consumer);
        effects.callStore(token, call);
    }

    /** Whether the service answered the last call that ended. */
    public boolean reachable() {
        return reachable;
    }

    /** Whether no call is open. */
    public boolean idle() {
        return open.isEmpty();
    }

    void replied(long token, StoreReply reply) {
        Consumer<StoreReply> consumer = open.remove(token);
        if (consumer == null) {
            return;
        }
        reachable = !(reply instanceof StoreReply.Unavailable);
        try {
            consumer.accept(reply);
        } catch (TeaselwoodException exception) {
            // A value that another program damaged must not stop the entry.
            effects.logged("a value of the key-value service cannot be used: " + exception.getMessage(), "", "");
        }
    }

    void tick(long now) {
        if (!reachable && open.isEmpty() && now - probedAt >= PROBE_MILLISECONDS) {
            probedAt = now;
            call(new StoreCall.Get(PROBE_KEY), reply -> {});
        }
    }
}
