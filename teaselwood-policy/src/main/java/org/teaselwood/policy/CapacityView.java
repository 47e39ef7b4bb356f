package org.teaselwood.policy;

import org.teaselwood.model.PartResources;

/** View of the resources of each server that a search may use. Implementations read the cluster and hold no copies. */
interface CapacityView {
    /** Returns the usable accelerators as a bit set; may be 0 if the server must not be used. */
    long accelerators(ServerState server);

    /** Returns whether the server may be used at all. */
    boolean accepts(ServerState server);

    /** Returns the usable cores. */
    int cores(ServerState server);

    /** Returns the usable memory in MiB. */
    int memoryMebibytes(ServerState server);

    /** Returns the usable slots. */
    int slots(ServerState server);

    /** Returns the penalty of the server. Lower penalties go first, before remaining capacity is compared. */
    default long penalty(ServerState server) {
        return 0;
    }

    /** Returns the number of parts that fit on a server. */
    default int countFittingParts(ServerState server, PartResources part) {
        if (server.announced() == null) {
            return 0;
        }
        // Most servers are full, so the cheap check precedes the check of capabilities and failed servers.
        long accelerators = accelerators(server);
        if (Long.bitCount(accelerators) < part.accelerators()) {
            return 0;
        }
        int fit = ServerState.countFittingParts(
                part, accelerators, cores(server), memoryMebibytes(server), slots(server));
        return fit > 0 && accepts(server) ? fit : 0;
    }
}
