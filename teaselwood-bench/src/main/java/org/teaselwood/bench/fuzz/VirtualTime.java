package org.teaselwood.bench.fuzz;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual clock with a queue of scheduled steps. Steps that are due at the same time run in the order in which they
 * were scheduled, so that a run is reproducible. Confined to one thread.
 */
final class VirtualTime {
    private final PriorityQueue<Step> pendingSteps =
            new PriorityQueue<>(Comparator.comparingLong(Step::dueMilliseconds).thenComparingLong(Step::sequence));
    private long nowMilliseconds;
    private long nextSequence;

    private record Step(long dueMilliseconds, long sequence, Runnable action) {}

    /** Creates a clock that starts at the given time. */
    VirtualTime(long startMilliseconds) {
        this.nowMilliseconds = startMilliseconds;
    }

    long nowMilliseconds() {
        return nowMilliseconds;
    }

    /** Runs an action after a delay in milliseconds. */
    void schedule(long delayMilliseconds, Runnable action) {
        pendingSteps.add(new Step(nowMilliseconds + Math.max(0, delayMilliseconds), nextSequence++, action));
    }

    /** Runs all steps that are due by the given time, then sets the clock to it. */
    void advanceTo(long untilMilliseconds) {
        while (!pendingSteps.isEmpty() && pendingSteps.peek().dueMilliseconds() <= untilMilliseconds) {
            Step step = pendingSteps.poll();
            nowMilliseconds = step.dueMilliseconds();
            step.action().run();
        }
        nowMilliseconds = untilMilliseconds;
    }
}
