package org.teaselwood.workload.placer;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Accelerators that are kept for urgent jobs. Mutable; confined to the placer's duty thread.
 *
 * <p>The reserve is what urgent jobs used at most during the last seconds, less what they use now. Work that would lose
 * much when it is stopped stays out of it, because the next urgent job would stop it again; work that saves its
 * progress may use it. A fixed share would stay idle on calm days and be too small for a burst.
 */
final class UrgentReserve {
    /** Urgent jobs run a few seconds and come in bursts of a few seconds. */
    private static final long WINDOW_MILLISECONDS = 8_000;

    private final Deque<Sample> samples = new ArrayDeque<>();
    private int inUse;

    private record Sample(long at, int accelerators) {}

    /** Notes what urgent jobs use and ask for now. */
    void observe(int accelerators, long now) {
        inUse = accelerators;
        while (!samples.isEmpty() && samples.peekLast().accelerators() <= accelerators) {
            samples.pollLast();
        }
        samples.addLast(new Sample(now, accelerators));
        while (now - samples.peekFirst().at() > WINDOW_MILLISECONDS) {
            samples.pollFirst();
        }
    }

    /** Accelerators to keep free now. */
    int accelerators() {
        return Math.max(0, samples.isEmpty() ? 0 : samples.peekFirst().accelerators() - inUse);
    }
}
