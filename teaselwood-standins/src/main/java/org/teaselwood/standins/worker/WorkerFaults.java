package org.teaselwood.standins.worker;

/**
 * Active faults of the worker stand-in. Immutable.
 *
 * @param failsEverything whether every task fails immediately when it is started
 * @param slowdown factor by which run times are multiplied; 1.0 for none
 */
public record WorkerFaults(boolean failsEverything, double slowdown) {
    /** No fault. */
    public static final WorkerFaults NONE = new WorkerFaults(false, 1.0);
}
