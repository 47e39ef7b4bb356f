package org.teaselwood.model;

/**
 * Resources that one part of a job requires on its backend server. Immutable.
 *
 * @param accelerators number of whole accelerators, which must be adjacent
 * @param slots number of executor slots, for short requests
 * @param cores number of processor cores
 * @param memoryMebibytes memory in MiB
 */
public record PartResources(int accelerators, int slots, int cores, int memoryMebibytes) {
    /** Validates that no amount is negative. */
    public PartResources {
        if (accelerators < 0 || slots < 0 || cores < 0 || memoryMebibytes < 0) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "resources of a part must not be negative");
        }
    }

    /** Creates a requirement for accelerators only. */
    public static PartResources ofAccelerators(int accelerators) {
        return new PartResources(accelerators, 0, 0, 0);
    }
}
