package org.teaselwood.agent.core;

import java.util.BitSet;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartResources;

/**
 * The accelerators, slots, cores and memory of the backend server. A reservation takes all of a part's resources or
 * none. Not thread-safe.
 */
final class ResourceLedger {
    private final BackendServer server;
    private final BitSet usedAccelerators = new BitSet();
    private long usedSlots;
    private long usedCores;
    private long usedMemoryMebibytes;

    ResourceLedger(BackendServer server) {
        this.server = server;
    }

    /** Why the resources cannot be reserved; empty when they can. */
    String obstacle(PartResources resources, int firstAccelerator) {
        long end = (long) firstAccelerator + resources.accelerators();
        if (resources.accelerators() > 0 && (firstAccelerator < 0 || end > server.accelerators())) {
            return "accelerators " + firstAccelerator + " to " + (end - 1) + " do not exist";
        }
        if (resources.accelerators() > 0
                && usedAccelerators.get(firstAccelerator, (int) end).cardinality() > 0) {
            return "accelerators " + firstAccelerator + " to " + (end - 1) + " are not all free";
        }
        if (usedSlots + resources.slots() > server.slots()) {
            return "not enough slots";
        }
        if (usedCores + resources.cores() > server.cores()) {
            return "not enough cores";
        }
        if (usedMemoryMebibytes + resources.memoryMebibytes() > server.memoryMebibytes()) {
            return "not enough memory";
        }
        return "";
    }

    /** Takes the resources, also when they exceed what is free: adopted tasks run already. */
    void reserve(PartResources resources, int firstAccelerator) {
        if (resources.accelerators() > 0 && firstAccelerator >= 0) {
            usedAccelerators.set(firstAccelerator, firstAccelerator + resources.accelerators());
        }
        usedSlots += resources.slots();
        usedCores += resources.cores();
        usedMemoryMebibytes += resources.memoryMebibytes();
    }

    void free(PartResources resources, int firstAccelerator) {
        if (resources.accelerators() > 0 && firstAccelerator >= 0) {
            usedAccelerators.clear(firstAccelerator, firstAccelerator + resources.accelerators());
        }
        usedSlots -= resources.slots();
        usedCores -= resources.cores();
        usedMemoryMebibytes -= resources.memoryMebibytes();
    }
}
