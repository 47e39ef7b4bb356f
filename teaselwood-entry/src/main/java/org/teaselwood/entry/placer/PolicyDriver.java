package org.teaselwood.entry.placer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.teaselwood.entry.core.EntryContext;
import org.teaselwood.policy.AttemptResult;
import org.teaselwood.policy.PolicyDecision;
import org.teaselwood.policy.PolicyEvent;
import org.teaselwood.policy.Scheduler;

/**
 * Feeds the policy one event after the other. An event that a decision causes is handled after all decisions of the
 * present one, so that the policy is never entered twice.
 */
final class PolicyDriver {
    private final EntryContext context;
    private final Scheduler scheduler;
    private final Deque<PolicyEvent> events = new ArrayDeque<>();
    private Consumer<PolicyDecision> decisions = decision -> {};
    private boolean running;
    private boolean muted;

    PolicyDriver(EntryContext context, Scheduler scheduler) {
        this.context = context;
        this.scheduler = scheduler;
    }

    /** Sets who carries decisions out. */
    void decide(Consumer<PolicyDecision> consumer) {
        decisions = consumer;
    }

    /** Carries out no decision while the policy is told to forget everything; what it places meanwhile ends at once. */
    void mute(boolean newMuted) {
        muted = newMuted;
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
                decided.forEach(muted ? this::refuse : decisions);
            }
        } finally {
            running = false;
        }
    }

    private void refuse(PolicyDecision decision) {
        if (decision instanceof PolicyDecision.Place place) {
            events.add(new PolicyEvent.AttemptEnded(place.attempt(), AttemptResult.CANCELLED, List.of()));
        }
    }

    Scheduler scheduler() {
        return scheduler;
    }
}
