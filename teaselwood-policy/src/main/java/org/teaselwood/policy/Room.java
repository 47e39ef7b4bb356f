package org.teaselwood.policy;

import org.teaselwood.model.PartResources;

/** What a search may use of a server. Implementations are views over the cluster and hold no copies. */
interface Room {
    /** Accelerators that may be taken, as a bit set; 0 also when the server must not be used. */
    long accelerators(ServerState server);

    /** Whether the server may be used at all. */
    boolean accepts(ServerState server);

    /** Cores that may be taken. */
    int cores(ServerState server);

    /** Memory that may be taken, in MiB. */
    int memoryMebibytes(ServerState server);

    /** Slots that may be taken. */
    int slots(ServerState server);

    /** A lower value is used first; compared before the room that is left. */
    default long penalty(ServerState server) {
        return 0;
    }

    /** How many parts fit on a server. */
    default int fit(ServerState server, PartResources part) {
        if (server.announced() == null) {
            return 0;
        }
        // Most servers are full, so the cheap test comes before capabilities and failures.
        long accelerators = accelerators(server);
        if (Long.bitCount(accelerators) < part.accelerators()) {
            return 0;
        }
        int fit = ServerState.fit(part, accelerators, cores(server), memoryMebibytes(server), slots(server));
        return fit > 0 && accepts(server) ? fit : 0;
    }
}
