package org.teaselwood.standins.worker;

/**
 * Faults of the worker stand-in that can be switched on. Immutable.
 *
 * @param failsEverything every task that is run fails at once
 * @param slowdown factor by which tasks take longer, 1.0 for none
 */
public record WorkerFaults(boolean failsEverything, double slowdown) {
    /** No fault. */
    public static final WorkerFaults NONE = new WorkerFaults(false, 1.0);
}
