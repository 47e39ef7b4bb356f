package org.teaselwood.policy;

import org.teaselwood.model.PartResources;

/** Sum of the resources of disjoint parts on one backend server. Mutable, confined to its scheduler's thread. */
final class ResourceSum {
    /** Empty sum; must not be modified. */
    static final ResourceSum EMPTY = new ResourceSum();

    /** Accelerators as a bit set. */
    long accelerators;

    int cores;
    int memoryMebibytes;
    int slots;

    void add(PartResources part, int firstAccelerator) {
        accelerators |= ServerState.rangeMask(firstAccelerator, part.accelerators());
        cores += part.cores();
        memoryMebibytes += part.memoryMebibytes();
        slots += part.slots();
    }

    void remove(PartResources part, int firstAccelerator) {
        accelerators &= ~ServerState.rangeMask(firstAccelerator, part.accelerators());
        cores -= part.cores();
        memoryMebibytes -= part.memoryMebibytes();
        slots -= part.slots();
    }

    boolean isEmpty() {
        return accelerators == 0 && cores == 0 && memoryMebibytes == 0 && slots == 0;
    }
}
