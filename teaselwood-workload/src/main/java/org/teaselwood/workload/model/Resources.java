package org.teaselwood.workload.model;

/**
 * What a task takes of a backend server, or what a server has. Immutable.
 *
 * @param milliCores processor, in thousandths of a core
 * @param memoryMebibytes memory, in MiB
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMebibytes, int accelerators) {
    /** An accelerator costs its owner as much as eight cores. */
    private static final int ACCELERATOR_IN_CORES = 8;

    private static final double MILLI_CORES = 1_000.0;

    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Cores of the same cost. */
    public double equivalentCores() {
        return milliCores / MILLI_CORES + ACCELERATOR_IN_CORES * accelerators;
    }

    /** The sum of both. */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMebibytes + other.memoryMebibytes,
                accelerators + other.accelerators);
    }

    /** This less the other; components may become negative. */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /** Whether every component of the other is at most that of this. */
    public boolean covers(Resources other) {
        return milliCores >= other.milliCores
                && memoryMebibytes >= other.memoryMebibytes
                && accelerators >= other.accelerators;
    }
}
