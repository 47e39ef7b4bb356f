package org.teaselwood.protocol;

/** Time of a process. Thread-safe. */
@FunctionalInterface
public interface MonotonicClock {
    /** Milliseconds since the epoch at the start of the process, plus the monotonic time since then; never falls. */
    long nowMilliseconds();

    /** The clock of this machine. */
    static MonotonicClock system() {
        long startMilliseconds = System.currentTimeMillis();
        long startNanoseconds = System.nanoTime();
        return () -> startMilliseconds + (System.nanoTime() - startNanoseconds) / 1_000_000;
    }
}
