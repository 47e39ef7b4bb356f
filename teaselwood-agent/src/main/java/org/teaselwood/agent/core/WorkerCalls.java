package org.teaselwood.agent.core;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.teaselwood.protocol.worker.WorkerCall;

/** The calls to the worker that have no reply yet, by token. Tokens rise, so that a later call has a higher token. */
final class WorkerCalls {
    /** One call without a reply. */
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

    /** Removes the call that a reply belongs to; null for a call that was given up. */
    Pending replied(long token) {
        return pending.remove(token);
    }

    boolean isPending(Predicate<WorkerCall> kind) {
        return pending.values().stream().anyMatch(call -> kind.test(call.call()));
    }

    long lastToken() {
        return lastToken;
    }

    /** Gives up all calls; their replies are ignored. */
    void abandon() {
        pending.clear();
    }

    /** Gives up the calls without a reply for too long and returns them. */
    List<Pending> expire(long now) {
        List<Pending> expired = new ArrayList<>();
        while (!pending.isEmpty()
                && now - pending.firstEntry().getValue().sentAt() >= AgentTimings.WORKER_CALL_MILLISECONDS) {
            expired.add(pending.pollFirstEntry().getValue());
        }
        return expired;
    }
}
