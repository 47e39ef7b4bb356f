package org.teaselwood.model;

/**
 * What one part of a job takes on one backend server. Immutable.
 *
 * @param accelerators whole accelerators, taken adjacent to each other
 * @param slots executor slots, for short requests
 * @param cores processor cores
 * @param memoryMebibytes memory in MiB
 */
public record PartResources(int accelerators, int slots, int cores, int memoryMebibytes) {
    /** Validates that no amount is negative. */
    public PartResources {
        if (accelerators < 0 || slots < 0 || cores < 0 || memoryMebibytes < 0) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "resources of a part must not be negative");
        }
    }

    /** Resources of accelerators alone. */
    public static PartResources ofAccelerators(int accelerators) {
        return new PartResources(accelerators, 0, 0, 0);
    }
}
