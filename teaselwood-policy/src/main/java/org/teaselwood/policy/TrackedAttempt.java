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
    /** Held accelerators as a bit set, and number of parts, by server. */
    private final Map<String, long[]> byServer = new HashMap<>();

    boolean guaranteed;
    /** Time of the placement, replaced by the time of the start once the attempt has started. */
    long startedMilliseconds;

    boolean started;
    /** Time up to which the work is saved in a checkpoint; the start time before the first checkpoint. */
    long checkpointedUntilMilliseconds;
    /** Time at which the attempt was preempted, -1 if it was not. */
    long preemptedMilliseconds = -1;
    /** Consecutive usage reports above the declaration. */
    int overuseReports;
    /** Whether the attempt was throttled for using more than it declared. */
    boolean throttled;
    /** Whether the attempt was stopped for using more than it declared. */
    boolean stoppedForOveruse;
    /** Whether a checkpoint was taken after the attempt was preempted. */
    boolean checkpointedWhileStopping;

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
        this.checkpointedUntilMilliseconds = startedMilliseconds;
        int length = job.shape().part().accelerators();
        for (PartPlacement placement : this.placements) {
            long[] onServer = byServer.computeIfAbsent(placement.server(), server -> new long[2]);
            onServer[0] |= ServerState.rangeMask(placement.firstAccelerator(), length);
            onServer[1]++;
        }
    }

    boolean isStopping() {
        return preemptedMilliseconds >= 0;
    }

    /** Returns the accelerators that the attempt holds on a server, as a bit set. */
    long acceleratorsOn(String server) {
        long[] onServer = byServer.get(server);
        return onServer == null ? 0 : onServer[0];
    }

    /** Returns the number of parts on a server. */
    int partsOn(String server) {
        long[] onServer = byServer.get(server);
        return onServer == null ? 0 : (int) onServer[1];
    }
}
