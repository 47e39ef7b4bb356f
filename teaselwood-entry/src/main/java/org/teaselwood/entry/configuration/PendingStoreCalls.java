package org.teaselwood.entry.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.teaselwood.entry.core.StoreCall;
import org.teaselwood.entry.core.StoreReply;

/**
 * Calls to the key-value service that wait for a reply. Confined to one thread.
 *
 * <p>A reply can be lost when a ring buffer is full, so a call without a reply fails after a time-out.
 */
final class PendingStoreCalls {
    /** Time-out of a call, longer than the client's own time-outs at several endpoints in succession. */
    static final long REPLY_TIMEOUT_MILLISECONDS = 6_000;

    private final ConfigurationEffects effects;
    private final Map<Long, Pending> pending = new LinkedHashMap<>();

    /** Handler of the reply to one call. */
    @FunctionalInterface
    interface ReplyHandler {
        void replied(StoreReply reply, long nowMilliseconds);
    }

    private record Pending(ReplyHandler handler, long expiry) {}

    PendingStoreCalls(ConfigurationEffects effects) {
        this.effects = effects;
    }

    void call(StoreCall call, long nowMilliseconds, ReplyHandler handler) {
        long token = effects.callStore(call);
        pending.put(token, new Pending(handler, nowMilliseconds + REPLY_TIMEOUT_MILLISECONDS));
    }

    /** Passes a reply to the handler of its call. Returns false if no call waits for a reply with this token. */
    boolean replied(long token, StoreReply reply, long nowMilliseconds) {
        Pending call = pending.remove(token);
        if (call == null) {
            return false;
        }
        call.handler().replied(reply, nowMilliseconds);
        return true;
    }

    void expire(long nowMilliseconds) {
        List<Long> expired = pending.entrySet().stream()
                .filter(entry -> entry.getValue().expiry() <= nowMilliseconds)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(
                token -> replied(token, new StoreReply.Unavailable("timed out waiting for a reply"), nowMilliseconds));
    }
}
