package org.teaselwood.protocol;

/** Clock whose time never decreases within a process. Thread-safe. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the current time in milliseconds: the wall-clock time since the epoch at which the clock was created,
     * plus the monotonic time elapsed since then.
     */
    long nowMilliseconds();

    /** Creates a clock based on the system clocks. */
    static MonotonicClock system() {
        long startMilliseconds = System.currentTimeMillis();
        long startNanoseconds = System.nanoTime();
        return () -> startMilliseconds + (System.nanoTime() - startNanoseconds) / 1_000_000;
    }
}
