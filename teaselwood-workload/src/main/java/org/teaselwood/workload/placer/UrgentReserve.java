package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Number of accelerators to keep free for urgent jobs. Mutable; confined to the placer's duty thread.
 *
 * <p>The reserve is the peak use by urgent jobs in a sliding window less their current demand. Work that would lose its
 * progress stays out of the reserve, because the next urgent job would preempt it; work that writes checkpoints may use
 * it. A fixed share would be idle under low load and too small for a burst; the peak of the demand would exceed the
 * deployment after many urgent jobs were cancelled before they ran.
 */
final class UrgentReserve {
    /** Length of the sliding window; urgent jobs run for a few seconds and arrive in bursts of a few seconds. */
    private static final long WINDOW_MILLISECONDS = 8_000;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private int demand;

    private record Sample(long at, int accelerators) {}

    /**
     * Records the current load by urgent jobs.
     *
     * @param accelerators number of accelerators that their runs use
     * @param requested number of accelerators that they use and request
     */
    void observe(int accelerators, int requested, long now) {
        demand = requested;
        while (!samples.isEmpty() && samples.peekLast().accelerators() <= accelerators) {
            samples.pollLast();
        }
        samples.addLast(new Sample(now, accelerators));
        while (now - samples.peekFirst().at() > WINDOW_MILLISECONDS) {
            samples.pollFirst();
        }
    }

    /** Returns the number of accelerators to keep free now. */
    int accelerators() {
        return Math.max(0, samples.isEmpty() ? 0 : samples.peekFirst().accelerators() - demand);
    }
}
