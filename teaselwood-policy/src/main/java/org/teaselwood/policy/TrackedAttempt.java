package org.teaselwood.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.teaselwood.model.AttemptIdentifier;

/** An attempt that holds resources. Mutable, confined to its scheduler's thread. */
final class TrackedAttempt {
    final TrackedJob job;
    final AttemptIdentifier identifier;
    final List<PartPlacement> placements;
    /** Held accelerators and number of parts, by server. */
    private final Map<String, long[]> byServer = new HashMap<>();

    boolean guaranteed;
    /** Time of the placement, or of the start once it is known. */
    long startedMilliseconds;

    boolean started;
    /** Time up to which the work is safe in a checkpoint; the start before the first checkpoint. */
    long safeUntilMilliseconds;
    /** Time of the reclaim decision, -1 while none was made. */
    long reclaimedMilliseconds = -1;
    /** Usage reports above the declaration in a row. */
    int overuseReports;
    /** Whether the attempt was throttled for using more than it declared. */
    boolean throttled;
    /** Whether it was stopped for using more than it declared. */
    boolean stoppedForOveruse;
    /** Whether a checkpoint was taken after the reclaim decision. */
    boolean checkpointedForStop;

    TrackedAttempt(
            TrackedJob job,
            AttemptIdentifier identifier,
            List<PartPlacement> placements,
            boolean guaranteed,
            long startedMilliseconds) {
        this.job = job;
        this.identifier = identifier;
        this.placements = List.copyOf(placements);
        this.guaranteed = guaranteed;
        this.startedMilliseconds = startedMilliseconds;
        this.safeUntilMilliseconds = startedMilliseconds;
        int length = job.shape().part().accelerators();
        for (PartPlacement placement : this.placements) {
            long[] there = byServer.computeIfAbsent(placement.server(), server -> new long[2]);
            there[0] |= ServerState.range(placement.firstAccelerator(), length);
            there[1]++;
        }
    }

    boolean isStopping() {
        return reclaimedMilliseconds >= 0;
    }

    /** Accelerators that the attempt holds on a server, as a bit set. */
    long acceleratorsOn(String server) {
        long[] there = byServer.get(server);
        return there == null ? 0 : there[0];
    }

    /** Number of parts on a server. */
    int partsOn(String server) {
        long[] there = byServer.get(server);
        return there == null ? 0 : (int) there[1];
    }
}
