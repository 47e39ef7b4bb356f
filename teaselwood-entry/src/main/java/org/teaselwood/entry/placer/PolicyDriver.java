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
 * Feeds the policy one event after the other. An event that a decision causes is handled after all decisions of the
 * present one, so that the policy is never entered twice.
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

    /** Sets who carries decisions out. */
    void decide(Consumer<PolicyDecision> consumer) {
        decisions = consumer;
    }

    /** Begins with a policy that knows nothing, because what an earlier term left in it holds no more. */
    void restart() {
        scheduler = schedulers.get();
        events.clear();
    }

    /** Feeds events; no event that a decision causes comes between them. */
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
