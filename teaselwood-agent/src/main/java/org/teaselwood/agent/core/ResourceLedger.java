package org.teaselwood.agent.core;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.teaselwood.model.BackendServer;
import org.teaselwood.model.PartResources;

/**
 * Reserved accelerators, slots, cores and memory of the backend server. A reservation takes all of a part's resources
 * or none. Not thread-safe.
 */
final class ResourceLedger {
    private final BackendServer server;
    private final int[] usesOfAccelerator;
    private long usedSlots;
    private long usedCores;
    private long usedMemoryMebibytes;

    ResourceLedger(BackendServer server) {
        this.server = server;
        this.usesOfAccelerator = new int[server.accelerators()];
    }

    /** Returns why the resources cannot be reserved; empty if they can. */
    String reservationError(PartResources resources, int firstAccelerator) {
        long end = (long) firstAccelerator + resources.accelerators();
        if (resources.accelerators() > 0 && (firstAccelerator < 0 || end > server.accelerators())) {
            return "accelerators " + firstAccelerator + " to " + (end - 1) + " do not exist";
        }
        if (resources.accelerators() > 0 && uses(firstAccelerator, (int) end).sum() > 0) {
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

    /** Reserves the resources even if they exceed the free capacity or overlap, because adopted tasks already run. */
    void reserve(PartResources resources, int firstAccelerator) {
        count(resources, firstAccelerator, 1);
    }

    void free(PartResources resources, int firstAccelerator) {
        count(resources, firstAccelerator, -1);
    }

    private void count(PartResources resources, int firstAccelerator, int sign) {
        int end = Math.min(usesOfAccelerator.length, firstAccelerator + resources.accelerators());
        for (int accelerator = Math.max(0, firstAccelerator); accelerator < end; accelerator++) {
            usesOfAccelerator[accelerator] += sign;
        }
        usedSlots += sign * resources.slots();
        usedCores += sign * resources.cores();
        usedMemoryMebibytes += sign * resources.memoryMebibytes();
    }

    private IntStream uses(int first, int end) {
        return Arrays.stream(usesOfAccelerator, first, end);
    }
}
