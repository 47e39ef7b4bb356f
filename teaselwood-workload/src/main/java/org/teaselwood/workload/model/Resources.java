package org.teaselwood.workload.model;

/**
 * Resources that a task requires or that a backend server provides. Immutable.
 *
 * @param milliCores processor time, in thousandths of a core
 * @param memoryMebibytes memory, in MiB
 * @param accelerators number of whole accelerators
 */
public record Resources(long milliCores, long memoryMebibytes, int accelerators) {
    /** Number of cores that cost as much as one accelerator. */
    private static final int CORES_PER_ACCELERATOR = 8;

    private static final double MILLI_CORES_PER_CORE = 1_000.0;

    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the number of cores that cost as much as these cores and accelerators; memory is not counted. */
    public double equivalentCores() {
        return milliCores / MILLI_CORES_PER_CORE + CORES_PER_ACCELERATOR * accelerators;
    }

    /** Returns the component-wise sum. */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores,
                memoryMebibytes + other.memoryMebibytes,
                accelerators + other.accelerators);
    }

    /** Returns the component-wise difference; components may be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /** Returns whether every component is at least as large as that of the other. */
    public boolean covers(Resources other) {
        return milliCores >= other.milliCores
                && memoryMebibytes >= other.memoryMebibytes
                && accelerators >= other.accelerators;
    }
}
