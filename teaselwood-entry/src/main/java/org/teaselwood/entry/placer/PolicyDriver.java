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
    private Consumer<PolicyDecision> decisions = decision -> {};
    private Scheduler scheduler;
    private boolean running;

    PolicyDriver(EntryContext context, Supplier<Scheduler> schedulers) {
        this.context = context;
        this.schedulers = schedulers;
        this.scheduler = schedulers.get();
    }

    /** Sets the handler that applies the decisions. */
    void decide(Consumer<PolicyDecision> consumer) {
        decisions = consumer;
    }

    /** Replaces the policy by a new one, because its state from an earlier term is no longer valid. */
    void restart() {
        scheduler = schedulers.get();
        events.clear();
    }

    /** Passes events to the policy in sequence; events caused by decisions are handled after them. */
    void feed(PolicyEvent... following) {
        events.addAll(List.of(following));
        if (running) {
            return;
        }
        running = true;
        try {
            while (!events.isEmpty()) {
                List<PolicyDecision> decided = scheduler.handle(events.poll(), context.now());
                decided.forEach(decisions);
            }
        } finally {
            running = false;
        }
    }

    Scheduler scheduler() {
        return scheduler;
    }
}
