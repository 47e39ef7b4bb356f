package org.teaselwood.entry.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.policy.PolicyDecision;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.policy.Scheduler;

/**
 * Passes events to the policy one at a time. An event caused by a decision is handled after all decisions of the
 * current event, so the policy is not called reentrantly.
 */
final class PolicyDriver {
    private final EntryContext context;
    private final Supplier<Scheduler> schedulers;
    private final Deque<PolicyEvent> events = new ArrayDeque<>();
    private Consumer<PolicyDecision> decisionHandler = decision -> {};
    private Scheduler scheduler;
    private boolean dispatching;

    PolicyDriver(EntryContext context, Supplier<Scheduler> schedulers) {
        this.context = context;
        this.schedulers = schedulers;
        this.scheduler = schedulers.get();
    }

    /** Sets the handler that applies the decisions. */
    void setDecisionHandler(Consumer<PolicyDecision> consumer) {
        decisionHandler = consumer;
    }

    /** Replaces the policy by a new one, because its state from an earlier term is no longer valid. */
    void restart() {
        scheduler = schedulers.get();
        events.clear();
    }

    /** Passes events to the policy in sequence; events caused by decisions are handled after them. */
    void feed(PolicyEvent... newEvents) {
        events.addAll(List.of(newEvents));
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            while (!events.isEmpty()) {
                List<PolicyDecision> decisions = scheduler.handle(events.poll(), context.now());
                decisions.forEach(decisionHandler);
            }
        } finally {
            dispatching = false;
        }
    }

    Scheduler scheduler() {
        return scheduler;
    }
}
