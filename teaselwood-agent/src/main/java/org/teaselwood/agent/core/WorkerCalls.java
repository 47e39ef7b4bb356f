package org.teaselwood.agent.core;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.teaselwood.protocol.worker.WorkerCall;

/** Pending calls to the worker by token. Tokens increase, so that a later call has a higher token. Not thread-safe. */
final class WorkerCalls {
    /** A call without a reply, and the time at which it was sent. */
    record Pending(long token, WorkerCall call, long sentAt) {}

    private final AgentEffects effects;
    private final TreeMap<Long, Pending> pending = new TreeMap<>();
    private long lastToken;

    WorkerCalls(AgentEffects effects) {
        this.effects = effects;
    }

    void call(WorkerCall call, long now) {
        lastToken++;
        pending.put(lastToken, new Pending(lastToken, call, now));
        effects.callWorker(lastToken, call);
    }

    /** Removes and returns the call that a reply belongs to; null if the call expired or was discarded. */
    Pending complete(long token) {
        return pending.remove(token);
    }

    boolean isPending(Predicate<WorkerCall> kind) {
        return pending.values().stream().anyMatch(call -> kind.test(call.call()));
    }

    long lastToken() {
        return lastToken;
    }

    /** Discards all pending calls; their replies are ignored. */
    void discardAll() {
        pending.clear();
    }

    /** Removes and returns the calls that have timed out. */
    List<Pending> expire(long now) {
        List<Pending> expired = new ArrayList<>();
        while (!pending.isEmpty()
                && now - pending.firstEntry().getValue().sentAt() >= AgentTimings.WORKER_CALL_TIMEOUT_MILLISECONDS) {
            expired.add(pending.pollFirstEntry().getValue());
        }
        return expired;
    }
}
